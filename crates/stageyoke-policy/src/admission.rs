//! Which programs begin while a service's engines have too little room for all.
//!
//! Load pattern: for some seconds more programs come than engines can work on. Where all
//! begin, turns wait in the engines' queues until their callers have gone; what was done
//! for them is lost, their callers come again, and the queues outlive the burst. So a
//! program that has begun goes on, and a new one begins only where there is room for it.
//! Engines take the more urgent first, so only what is as urgent or more counts as taking
//! its room. All fronts go by the same counts and by the same order of programs, so that
//! one which a front turns away is not begun by the next in the place of another.

use std::time::Duration;

/// Part of the places over which the share of programs that begin falls from all to none:
/// narrower, fronts that hear the counts a moment late would swing between both.
const BAND: f64 = 0.25;

/// When the first in the order may come back: engines end a turn in less, so that there
/// may be room.
const EARLIEST_RETURN: Duration = Duration::from_millis(300);
/// Later by at most so much, by their place in the order: returns don't come at once.
const RETURNS_OVER: Duration = Duration::from_millis(600);

/// Work at a service's engines, as all fronts count it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineLoad {
    /// Turns that the engines work on at once.
    pub slots: u32,
    /// Turns under way, also those that wait there, that are as urgent as the program to
    /// be decided on, or more.
    pub competing_turns: u32,
}

/// Whether a program begins.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// It does.
    Admitted,
    /// There is no room; it may come back after this time.
    Rejected(Duration),
}

impl EngineLoad {
    /// Share of the programs that begin, 0 to 1: all while a place is free for them.
    pub fn admitted_share(&self) -> f64 {
        if self.slots == 0 {
            return 1.0;
        }
        let taken = f64::from(self.competing_turns) / f64::from(self.slots);
        ((1.0 + BAND - taken) / BAND).clamp(0.0, 1.0)
    }

    /// Decides on the program with this place in the order of all, 0 to 1. The order has
    /// nothing to do with when they come: one that is turned away stays before those
    /// behind it when it comes back.
    pub fn decide(&self, order: f64) -> AdmissionDecision {
        match order < self.admitted_share() {
            true => AdmissionDecision::Admitted,
            false => AdmissionDecision::Rejected(EARLIEST_RETURN + RETURNS_OVER.mul_f64(order)),
        }
    }
}
