//! Log output to standard output that never blocks a request.
//!
//! A dedicated thread writes the lines from a bounded queue. If the queue is full because the
//! reader of standard output is too slow, lines are dropped. The next line that is queued reports
//! how many were dropped, as `lines_dropped_before`, and the metrics have their total.

use flume::{Receiver, Sender, TrySendError};
use logforth::append::Append;
use logforth::layout::{Layout, LogfmtLayout};
use logforth::record::Record;
use logforth::{Diagnostic, Error};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum number of queued lines, which a busy VM produces in a few seconds.
const MAX_QUEUED_LINES: usize = 4_096;

/// Maximum duration of a flush. A process that stops has 400 ms left for all that follows its last
/// answers.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of lines that this process has dropped.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that this process has dropped.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// A log appender that formats lines and queues them for the log thread.
#[derive(Debug)]
pub struct BoundedStdout {
    layout: LogfmtLayout,
    queue: Sender<QueueEntry>,
    /// Number of lines dropped since the last line that was queued.
    dropped: AtomicU64,
}

#[derive(Debug)]
enum QueueEntry {
    /// A formatted line, with the line break.
    Line(Vec<u8>),
    /// A request to flush standard output. The log thread replies after it has written all
    /// earlier lines.
    Flush(Sender<()>),
}

impl BoundedStdout {
    /// Starts the log thread and returns an appender for it.
    ///
    /// # Errors
    ///
    /// Returns an error if the operating system can't create the thread.
    pub fn start() -> io::Result<Self> {
        let (queue, entries) = flume::bounded(MAX_QUEUED_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&entries))?;
        Ok(BoundedStdout { layout: LogfmtLayout::default(), queue, dropped: AtomicU64::new(0) })
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
        match self.queue.try_send(QueueEntry::Line(text)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) => {
                self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
                Ok(())
            }
            Err(TrySendError::Disconnected(_)) => Err(Error::new("the log thread terminated")),
        }
    }

    /// Waits until all earlier lines are written, or until [`FLUSH_TIMEOUT`] is over: the reader of
    /// standard output may have stopped.
    fn flush(&self) -> Result<(), Error> {
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let (done, written) = flume::bounded(1);
        let queued = self.queue.send_deadline(QueueEntry::Flush(done), deadline).is_ok();
        let is_written = queued && written.recv_deadline(deadline).is_ok();
        is_written.then_some(()).ok_or_else(|| Error::new("the log could not be written in time"))
    }
}

/// Writes queue entries to standard output until all senders are dropped.
fn write_lines(entries: &Receiver<QueueEntry>) {
    let mut stdout = io::stdout().lock();
    while let Ok(entry) = entries.recv() {
        // Write errors are ignored: if standard output is closed, they can't be logged anywhere.
        // The metrics remain available.
        match entry {
            QueueEntry::Line(text) => drop(stdout.write_all(&text)),
            QueueEntry::Flush(done) => {
                drop(stdout.flush());
                let _ = done.send(());
            }
        }
    }
}
