//! How the store groups come about at the first start of a deployment: stores
//! register, and once no more of them come one of them forms the groups. Pure:
//! the caller makes the change under the condition that nothing has changed.

use std::time::Duration;

use stageyoke_directory::{Member, StoreGroups, Tolerance};
use tokio::time::Instant;

/// Stores of one start register spread over so long: all write the same key.
const REGISTER_SPREAD: Duration = Duration::from_millis(800);
/// The groups are formed when no store has registered for so long: machines
/// start within 0.3 s of one another, and changes are heard within 1.2 s.
const FORM_AFTER: Duration = Duration::from_millis(2000);
/// The first of the registered stores forms the groups; each further one waits
/// so much longer, in case those before it are gone.
const FORM_STAGGER: Duration = Duration::from_millis(500);

/// When a store may register.
#[derive(Clone, Copy, Debug)]
pub struct Start {
    register_at: Instant,
}

impl Start {
    /// The process has just started.
    pub fn now() -> Self {
        let part: f64 = rand::random();
        Self {
            register_at: Instant::now() + REGISTER_SPREAD.mul_f64(part),
        }
    }
}

/// The version of the store groups that was seen last, and since when.
#[derive(Clone, Copy, Debug)]
pub struct Registered {
    version: u64,
    since: Instant,
}

impl Registered {
    /// This version is seen now.
    pub fn now(version: u64) -> Self {
        Self {
            version,
            since: Instant::now(),
        }
    }

    /// A look at the groups shows this version.
    pub fn seen(self, version: u64) -> Self {
        match self.version == version {
            true => self,
            false => Self::now(version),
        }
    }
}

/// The next change before the groups are formed, if this store is to make one.
pub fn next(
    stores: &StoreGroups,
    oneself: &Member,
    start: Start,
    registered: Registered,
    tolerance: &Tolerance,
) -> Option<StoreGroups> {
    let mut candidates = stores.candidates.iter();
    let Some(position) = candidates.position(|candidate| candidate == oneself) else {
        let may_register = Instant::now() >= start.register_at;
        return may_register.then(|| stores.with_candidate(oneself.clone()));
    };
    let stagger = FORM_STAGGER * u32::try_from(position).unwrap_or(u32::MAX);
    match registered.since.elapsed() >= FORM_AFTER.saturating_add(stagger) {
        true => stores.form(tolerance),
        false => None,
    }
}
