//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    began: Instant,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
            began: Instant::now(),
        })
    }

    pub fn write(&self, line: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(file, "{at:9.3}  {}", line.as_ref());
    }

    /// Writes a line that also goes to the standard output.
    pub fn say(&self, line: impl AsRef<str>) {
        println!("{}", line.as_ref());
        self.write(line);
        let _ = self.file.lock().unwrap().flush();
    }
}
