//! Buffer for a request's body. All but small bodies get pages of their own, which return to the system with
//! the body: on the heap they would leave gaps that add up to more than the memory budget.

use bytes::Bytes;
use memmap2::MmapMut;

/// Size from which a body gets pages of its own.
const MIN_MAPPED_BYTES: usize = 32 * 1024;

/// Bytes of a body.
#[derive(Debug, Default)]
pub(crate) struct BodyBuffer {
    heap: Vec<u8>,
    mapped: Option<MappedBytes>,
}

/// The first `length` bytes of mapped pages. Further pages use no memory until they are written.
#[derive(Debug)]
struct MappedBytes {
    pages: MmapMut,
    length: usize,
}

impl AsRef<[u8]> for MappedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.pages[..self.length]
    }
}

impl BodyBuffer {
    /// Returns the number of bytes.
    pub(crate) fn len(&self) -> usize {
        let mapped = self.mapped.as_ref().map(|mapped| mapped.length);
        mapped.unwrap_or(self.heap.len())
    }

    /// Makes room for `capacity` bytes of a body that has at most `max_bytes`. Returns whether the
    /// system has the memory.
    pub(crate) fn try_reserve(&mut self, capacity: usize, max_bytes: usize) -> bool {
        if self.mapped.is_some() {
            return true;
        }
        if capacity < MIN_MAPPED_BYTES {
            self.heap.reserve_exact(capacity - self.heap.len());
            return true;
        }
        let Ok(pages) = MmapMut::map_anon(max_bytes.max(capacity)) else {
            return false;
        };
        let mut mapped = MappedBytes { pages, length: 0 };
        mapped.append(&std::mem::take(&mut self.heap));
        self.mapped = Some(mapped);
        true
    }

    /// Appends bytes for which there is room.
    pub(crate) fn append(&mut self, data: &[u8]) {
        match &mut self.mapped {
            Some(mapped) => mapped.append(data),
            None => self.heap.extend_from_slice(data),
        }
    }

    /// Returns all bytes.
    pub(crate) fn into_bytes(self) -> Bytes {
        match self.mapped {
            Some(mapped) => Bytes::from_owner(mapped),
            None => Bytes::from(self.heap),
        }
    }
}

impl MappedBytes {
    fn append(&mut self, data: &[u8]) {
        let end = self.length + data.len();
        self.pages[self.length..end].copy_from_slice(data);
        self.length = end;
    }
}
