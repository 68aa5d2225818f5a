use super::*;
use std::sync::mpsc::channel;

/// A target that blocks until the test ends the block.
struct StalledTarget(
    std::sync::mpsc::Receiver<()>,
    std::sync::mpsc::Sender<Vec<u8>>,
);

impl Write for StalledTarget {
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
fn stalled_targets_do_not_block_and_dropped_lines_are_reported() {
    let (unblock, blocked) = channel();
    let (out, lines) = channel();
    let mut writer = LineWriter::start(StalledTarget(blocked, out)).unwrap();
    for _ in 0..3 * QUEUE_CAPACITY {
        writer.write_all(b"{}\n").unwrap();
    }
    assert!(dropped_lines() >= QUEUE_CAPACITY as u64);
    drop(unblock);
    drop(writer);
    let written: Vec<u8> = lines.iter().flatten().collect();
    let text = String::from_utf8(written).unwrap();
    assert!(text.contains("lines_dropped"));
    assert!(text.lines().count() <= 2 * QUEUE_CAPACITY);
}
