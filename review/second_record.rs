//! The record of a run: what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began_at: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("cannot write the record");
        Self { file: Arc::new(Mutex::new(file)), began_at: Instant::now() }
    }

    pub fn line(&self, text: &str) {
        let at = self.began_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record has failed");
        let _ = writeln!(file, "{at:7.3}  {text}");
    }
}

/// Creates a folder for the files of a run.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder =
        std::env::temp_dir().join(format!("fennelfold-review-{name}-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("cannot create a temporary folder");
    folder
}
