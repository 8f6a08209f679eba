//! Limits the memory of copies of the directory that are being sent. Many fronts may ask for
//! one at the same moment, and each copy stays in memory until its front has received it.

use std::cell::Cell;
use std::rc::Rc;

/// Copies of the directory on their way to other processes.
#[derive(Debug)]
pub struct DirectoryTransfers {
    limit_bytes: usize,
    /// Size of the newest copy.
    copy_bytes: Cell<usize>,
    active: Rc<Cell<usize>>,
}

impl DirectoryTransfers {
    /// Creates the limit. One copy may be sent however large it is.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            copy_bytes: Cell::new(0),
            active: Rc::default(),
        }
    }

    /// Starts a transfer; `None` if its copy would exceed the limit.
    pub fn try_start(&self) -> Option<DirectoryTransfer> {
        let active = self.active.get();
        let bytes = (active + 1).saturating_mul(self.copy_bytes.get());
        if active > 0 && bytes > self.limit_bytes {
            return None;
        }
        self.active.set(active + 1);
        Some(DirectoryTransfer {
            active: self.active.clone(),
        })
    }

    /// Records the size of a copy.
    pub fn record_size(&self, bytes: usize) {
        self.copy_bytes.set(bytes);
    }
}

/// A transfer; it ends when this is dropped.
#[derive(Debug)]
pub struct DirectoryTransfer {
    active: Rc<Cell<usize>>,
}

impl Drop for DirectoryTransfer {
    fn drop(&mut self) {
        self.active.set(self.active.get() - 1);
    }
}
