//! Requests within a sliding window.

use std::time::Duration;

use crate::token_bucket::RateLimit;

/// Slots of a window. A request counts until its whole slot has left the window:
/// a hundredth of it, 50 ms of 5 s, makes it hardly stricter.
const SLOTS: usize = 100;
/// The slot that is being filled and those before it.
const RING: usize = SLOTS + 1;

/// Requests of the last while: no span of the window's length holds more than are
/// allowed.
#[derive(Clone, Debug)]
pub struct Window {
    length: Duration,
    slots: Box<[u16; RING]>,
    total: u32,
    /// Number of the slot that is being filled.
    current: u64,
}

impl Window {
    /// An empty window of this length.
    pub fn new(length: Duration, now: Duration) -> Self {
        let mut window = Self {
            length,
            slots: Box::new([0; RING]),
            total: 0,
            current: 0,
        };
        window.current = window.slot_of(now);
        window
    }

    /// What a limit allows within the window.
    pub fn allowed(&self, limit: RateLimit) -> f64 {
        (limit.per_second * self.length.as_secs_f64() + limit.burst).max(1.0)
    }

    /// The window's length.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Requests in it now.
    pub fn count(&mut self, now: Duration) -> u32 {
        self.slide(now);
        self.total
    }

    /// Requests that are in it now and still will be after `later`.
    pub fn count_after(&mut self, later: Duration, now: Duration) -> u32 {
        self.slide(now);
        let leaving = self.slots_in(later).min(RING);
        let oldest = (self.current + 1) as usize;
        let gone = (0..leaving).map(|slot| u32::from(self.slots[(oldest + slot) % RING]));
        self.total - gone.sum::<u32>()
    }

    /// Time until at most so many of those that are in it now are left.
    pub fn time_until(&mut self, count: u32, now: Duration) -> Duration {
        self.slide(now);
        let oldest = (self.current + 1) as usize;
        let mut left = self.total;
        for passed in 0..RING {
            if left <= count {
                return self.span_of(passed);
            }
            left -= u32::from(self.slots[(oldest + passed) % RING]);
        }
        self.span_of(RING)
    }

    /// Counts one request.
    pub fn add(&mut self, now: Duration) {
        self.slide(now);
        let slot = &mut self.slots[(self.current % RING as u64) as usize];
        if *slot < u16::MAX {
            *slot += 1;
            self.total += 1;
        }
    }

    /// Number of the slot in which a request counts that is added now.
    pub fn slot(&mut self, now: Duration) -> u64 {
        self.slide(now);
        self.current
    }

    /// Takes back one request that was added in this slot; nothing where the slot has
    /// left the window.
    pub fn take_back(&mut self, slot: u64, now: Duration) {
        self.slide(now);
        let inside = slot <= self.current && self.current - slot < RING as u64;
        let count = &mut self.slots[(slot % RING as u64) as usize];
        // A full slot may have met more requests than it counted.
        if inside && *count > 0 && *count < u16::MAX {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Takes so many requests as made evenly over the window, but for its newest
    /// part, of which everything is known.
    pub fn assume(&mut self, requests: f64, known: Duration, now: Duration) {
        self.slide(now);
        let known = self.slots_in(known);
        let each = requests / SLOTS as f64;
        let mut owed = 0.0;
        for slot in 0..SLOTS.saturating_sub(known) {
            owed += each;
            let whole = owed as u16;
            owed -= f64::from(whole);
            let oldest = (self.current + 1) as usize;
            self.slots[(oldest + slot) % RING] += whole;
            self.total += u32::from(whole);
        }
    }

    /// Whole slots in a span.
    fn slots_in(&self, span: Duration) -> usize {
        usize::try_from(self.slot_of(span)).unwrap_or(usize::MAX)
    }

    fn slot_of(&self, time: Duration) -> u64 {
        let slots = time.as_nanos() * SLOTS as u128 / self.length.as_nanos().max(1);
        u64::try_from(slots).unwrap_or(u64::MAX)
    }

    /// Time in which so many slots leave.
    fn span_of(&self, slots: usize) -> Duration {
        let nanoseconds = (self.length.as_nanos() * slots as u128).div_ceil(SLOTS as u128);
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    fn slide(&mut self, now: Duration) {
        let slot = self.slot_of(now);
        let passed = slot.saturating_sub(self.current).min(RING as u64);
        for number in 1..=passed {
            let leaving = ((slot.max(self.current) - passed + number) % RING as u64) as usize;
            self.total -= u32::from(std::mem::take(&mut self.slots[leaving]));
        }
        self.current = self.current.max(slot);
    }
}
