use super::*;
use std::sync::mpsc::channel;

/// A reader that takes nothing until it is told to.
struct StuckReader(
    std::sync::mpsc::Receiver<()>,
    std::sync::mpsc::Sender<Vec<u8>>,
);

impl Write for StuckReader {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        self.1.send(bytes.to_vec()).map_err(io::Error::other)?;
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_stops_holds_nobody_up_and_learns_what_was_dropped() {
    let (go, wait) = channel();
    let (out, lines) = channel();
    let mut writer = LineWriter::start(StuckReader(wait, out)).unwrap();
    for _ in 0..3 * MOST_LINES {
        writer.write_all(b"{}\n").unwrap();
    }
    assert!(dropped_lines() >= MOST_LINES as u64);
    drop(go);
    drop(writer);
    let written: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(written).unwrap();
    assert!(text.contains("lines_dropped"));
    assert!(text.lines().count() <= 2 * MOST_LINES);
}
