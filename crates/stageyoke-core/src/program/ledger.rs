//! Budgets of a program tree. What a call may use at most is reserved before
//! it starts and settled when it ends, at the program and at each ancestor, so
//! that concurrent sub-agents together cannot overrun any of them.

use nanoserde::{DeBin, SerBin};
use stageyoke_types::Time;

use super::command::Usage;

/// Limits of one program kind. 0 means no limit, except for `fan_out` and
/// `depth`, where 0 means no sub-agents.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Limits {
    /// Calls, sub-agents' included.
    pub calls: u32,
    /// Prompt tokens, sub-agents' included.
    pub tokens_in: u64,
    /// Generated tokens, sub-agents' included.
    pub tokens_out: u64,
    /// Milliseconds from the first call to the end.
    pub wall_ms: Time,
    /// Levels of sub-agents below the root.
    pub depth: u32,
    /// Direct sub-agents, ended ones included.
    pub fan_out: u32,
    /// Milliseconds without a call after which the program ends.
    pub idle_ms: Time,
    /// Milliseconds for which outcomes are kept for their idempotency key.
    pub key_retention_ms: Time,
}

/// Most that one call can use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Reservation {
    /// Prompt tokens.
    pub tokens_in: u64,
    /// Generated tokens.
    pub tokens_out: u64,
}

/// What a program and its sub-agents have used and reserved.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, SerBin, DeBin)]
pub struct Ledger {
    /// Calls started or waiting.
    pub calls: u32,
    /// Settled use.
    pub used: Usage,
    /// Reserved by calls that have not ended.
    pub reserved: Reservation,
    /// Direct sub-agents ever started.
    pub children: u32,
}

impl Ledger {
    /// The first limit that a further call with this reservation would pass.
    pub fn exceeded_by(&self, limits: &Limits, wanted: &Reservation) -> Option<&'static str> {
        let tokens_in = self.used.tokens_in + self.reserved.tokens_in + wanted.tokens_in;
        let tokens_out = self.used.tokens_out + self.reserved.tokens_out + wanted.tokens_out;
        if limits.calls != 0 && self.calls >= limits.calls {
            return Some("calls");
        }
        if limits.tokens_in != 0 && tokens_in > limits.tokens_in {
            return Some("tokens_in");
        }
        if limits.tokens_out != 0 && tokens_out > limits.tokens_out {
            return Some("tokens_out");
        }
        None
    }

    /// Sets aside what a call may use.
    pub fn reserve(&mut self, wanted: &Reservation) {
        self.calls += 1;
        self.reserved.tokens_in += wanted.tokens_in;
        self.reserved.tokens_out += wanted.tokens_out;
    }

    /// Replaces a reservation by what was used.
    pub fn settle(&mut self, reserved: &Reservation, used: &Usage) {
        self.reserved.tokens_in = self.reserved.tokens_in.saturating_sub(reserved.tokens_in);
        self.reserved.tokens_out = self.reserved.tokens_out.saturating_sub(reserved.tokens_out);
        self.used.tokens_in += used.tokens_in;
        self.used.tokens_out += used.tokens_out;
    }

    /// Gives back the reservation of a call that never ran.
    pub fn release(&mut self, reserved: &Reservation) {
        self.calls = self.calls.saturating_sub(1);
        self.settle(reserved, &Usage::default());
    }
}
