//! Log lines to standard output that never hold a request up.
//!
//! Lines wait in a bounded queue for a thread of their own. Where standard output is not read in
//! time, lines are dropped; the next line that gets through tells how many.

use flume::{Receiver, Sender, TrySendError};
use logforth::append::Append;
use logforth::layout::{Layout, LogfmtLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;

/// Lines that may wait: some seconds of a busy VM.
const WAITING_LINES: usize = 4_096;

/// Writes lines from a thread of its own.
#[derive(Debug)]
pub struct BoundedStdout {
    layout: LogfmtLayout,
    lines: Sender<Line>,
    dropped: AtomicU64,
}

#[derive(Debug)]
enum Line {
    Text(Vec<u8>),
    /// Answered once all lines before it are written.
    Flush(Sender<()>),
}

impl BoundedStdout {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// The system's, if there can be no further thread.
    pub fn start() -> io::Result<Self> {
        let (lines, waiting) = flume::bounded(WAITING_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&waiting))?;
        Ok(BoundedStdout { layout: LogfmtLayout::default(), lines, dropped: AtomicU64::new(0) })
    }
}

impl Append for BoundedStdout {
    fn append(&self, record: &Record, diagnostics: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let mut text = self.layout.format(record, diagnostics)?;
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            text.extend_from_slice(format!(" lines_dropped_before={dropped}").as_bytes());
        }
        text.push(b'\n');
        match self.lines.try_send(Line::Text(text)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
                Ok(())
            }
            Err(TrySendError::Disconnected(_)) => Err(Error::new("the log thread has ended")),
        }
    }

    fn flush(&self) -> Result<(), Error> {
        let (done, written) = flume::bounded(1);
        let sent = self.lines.send(Line::Flush(done)).is_ok() && written.recv().is_ok();
        sent.then_some(()).ok_or_else(|| Error::new("the log thread has ended"))
    }
}

fn write_lines(waiting: &Receiver<Line>) {
    let mut stdout = io::stdout().lock();
    while let Ok(line) = waiting.recv() {
        // Nobody is left to tell that standard output is closed; counters still show what happens.
        match line {
            Line::Text(text) => drop(stdout.write_all(&text)),
            Line::Flush(done) => {
                drop(stdout.flush());
                let _ = done.send(());
            }
        }
    }
}
