//! Request counter over a sliding time window.

use std::time::Duration;

use crate::token_bucket::RateLimit;

/// Slots that a window is divided into. A request counts until its whole slot has left the
/// window, up to one slot (1 % of the window) too long.
const SLOTS: usize = 100;
/// Ring buffer size: a full window of slots and the slot being filled.
const RING_SIZE: usize = SLOTS + 1;

/// Counts the requests of the most recent window. A caller that checks the count before
/// each request stays within its limit over every span of the window's length.
#[derive(Clone, Debug)]
pub struct SlidingWindow {
    length: Duration,
    slots: Box<[u16; RING_SIZE]>,
    total: u32,
    /// Number of the slot that is being filled, counted from time zero.
    current_slot: u64,
}

impl SlidingWindow {
    /// Creates an empty window.
    pub fn new(length: Duration, now: Duration) -> Self {
        let mut window = Self {
            length,
            slots: Box::new([0; RING_SIZE]),
            total: 0,
            current_slot: 0,
        };
        window.current_slot = window.slot_at(now);
        window
    }

    /// Number of requests that `limit` allows within one window; at least one.
    pub fn capacity(&self, limit: RateLimit) -> f64 {
        (limit.per_second * self.length.as_secs_f64() + limit.burst).max(1.0)
    }

    /// Length of the window.
    pub fn length(&self) -> Duration {
        self.length
    }

    /// Number of requests in the window at `now`.
    pub fn count(&mut self, now: Duration) -> u32 {
        self.advance(now);
        self.total
    }

    /// Number of the current requests that will still be in the window after `delay`.
    pub fn count_after(&mut self, delay: Duration, now: Duration) -> u32 {
        self.advance(now);
        let expiring = self.slots_in(delay).min(RING_SIZE);
        let oldest = (self.current_slot + 1) as usize;
        let expired = (0..expiring).map(|slot| u32::from(self.slots[(oldest + slot) % RING_SIZE]));
        self.total - expired.sum::<u32>()
    }

    /// Time until at most `count` of the current requests remain in the window.
    pub fn time_until_at_most(&mut self, count: u32, now: Duration) -> Duration {
        self.advance(now);
        let oldest = (self.current_slot + 1) as usize;
        let mut remaining = self.total;
        for expired in 0..RING_SIZE {
            if remaining <= count {
                return self.duration_of(expired);
            }
            remaining -= u32::from(self.slots[(oldest + expired) % RING_SIZE]);
        }
        self.duration_of(RING_SIZE)
    }

    /// Counts one request at `now`.
    pub fn record(&mut self, now: Duration) {
        self.advance(now);
        let slot = &mut self.slots[(self.current_slot % RING_SIZE as u64) as usize];
        if *slot < u16::MAX {
            *slot += 1;
            self.total += 1;
        }
    }

    /// Number of the slot in which a request at `now` is counted.
    pub fn current_slot(&mut self, now: Duration) -> u64 {
        self.advance(now);
        self.current_slot
    }

    /// Removes one request that was recorded in `slot` from the count. Has no effect once the
    /// slot has left the window.
    pub fn refund(&mut self, slot: u64, now: Duration) {
        self.advance(now);
        let in_window = slot <= self.current_slot && self.current_slot - slot < RING_SIZE as u64;
        let count = &mut self.slots[(slot % RING_SIZE as u64) as usize];
        // A saturated slot may have received more requests than it counted.
        if in_window && *count > 0 && *count < u16::MAX {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Fills the window with `requests` spread evenly, except for the most recent `known`
    /// span, whose requests are counted already.
    pub fn prefill(&mut self, requests: f64, known: Duration, now: Duration) {
        self.advance(now);
        let known_slots = self.slots_in(known);
        let per_slot = requests / SLOTS as f64;
        let mut pending = 0.0;
        for slot in 0..SLOTS.saturating_sub(known_slots) {
            pending += per_slot;
            let whole = pending as u16;
            pending -= f64::from(whole);
            let oldest = (self.current_slot + 1) as usize;
            self.slots[(oldest + slot) % RING_SIZE] += whole;
            self.total += u32::from(whole);
        }
    }

    /// Number of whole slots in `span`.
    fn slots_in(&self, span: Duration) -> usize {
        usize::try_from(self.slot_at(span)).unwrap_or(usize::MAX)
    }

    fn slot_at(&self, time: Duration) -> u64 {
        let slot = time.as_nanos() * SLOTS as u128 / self.length.as_nanos().max(1);
        u64::try_from(slot).unwrap_or(u64::MAX)
    }

    /// Duration of `slots` slots, rounded up.
    fn duration_of(&self, slots: usize) -> Duration {
        let nanoseconds = (self.length.as_nanos() * slots as u128).div_ceil(SLOTS as u128);
        Duration::from_nanos(u64::try_from(nanoseconds).unwrap_or(u64::MAX))
    }

    /// Moves the window to `now` and clears the slots that left it.
    fn advance(&mut self, now: Duration) {
        let slot = self.slot_at(now);
        let passed = slot.saturating_sub(self.current_slot).min(RING_SIZE as u64);
        for number in 1..=passed {
            let expired =
                ((slot.max(self.current_slot) - passed + number) % RING_SIZE as u64) as usize;
            self.total -= u32::from(std::mem::take(&mut self.slots[expired]));
        }
        self.current_slot = self.current_slot.max(slot);
    }
}
