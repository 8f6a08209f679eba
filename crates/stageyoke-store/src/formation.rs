//! Forms the store groups at the first start of a deployment: each store registers under its
//! own key, and when registrations stop arriving one of the stores forms the groups. Pure:
//! the caller writes the groups on condition that none exist yet.

use std::collections::BTreeMap;
use std::time::Duration;

use stageyoke_directory::{Member, StoreGroups, Tolerance};
use stageyoke_types::Text;
use tokio::time::Instant;

/// Upper bound of the random delay before a store registers. Spreads the registrations of stores
/// that start together: the key-value service takes a few hundred writes a second.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_millis(800);
/// Interval after which a store whose registration has not appeared writes it again: the
/// service may have rejected it or been unavailable.
const REGISTRATION_RETRY_INTERVAL: Duration = Duration::from_millis(1500);
/// Time without a new registration after which the groups are formed: machines start within
/// 0.3 s of one another, and changes arrive within 1.2 s.
const FORMATION_QUIET_PERIOD: Duration = Duration::from_millis(2000);
/// Maximum time from the first registration to the formation of the groups, even if stores
/// still register: programs wait for it.
const FORMATION_TIMEOUT: Duration = Duration::from_millis(5000);
/// Additional delay per position in the list of registered stores: the first one forms the
/// groups, the next ones take over if it is down.
const FORMATION_STAGGER: Duration = Duration::from_millis(500);

/// Registered stores by machine name.
pub type Registrations = BTreeMap<Text, Member>;

/// Next action of a store before the groups exist.
#[derive(Clone, Debug, PartialEq)]
pub enum FormationStep {
    /// No action for now.
    Wait,
    /// Write this store's registration.
    Register,
    /// Write these groups.
    Form(StoreGroups),
}

/// Registrations that one store has seen since its start.
#[derive(Clone, Debug)]
pub struct Formation {
    register_at: Instant,
    known: Registrations,
    first_at: Option<Instant>,
    changed_at: Instant,
}

impl Formation {
    /// Starts the timers of a process that has just started.
    pub fn new() -> Self {
        let fraction: f64 = rand::random();
        let now = Instant::now();
        Self {
            register_at: now + MAX_REGISTRATION_DELAY.mul_f64(fraction),
            known: Registrations::new(),
            first_at: None,
            changed_at: now,
        }
    }

    /// Replaces the known registrations. A change restarts the quiet period.
    pub fn update_registrations(&mut self, registered: &Registrations) {
        if self.known == *registered {
            return;
        }
        let now = Instant::now();
        self.known.clone_from(registered);
        self.first_at.get_or_insert(now);
        self.changed_at = now;
    }

    /// Decides the next action of this store.
    pub fn next_step(
        &mut self,
        stores: &StoreGroups,
        local: &Member,
        tolerance: &Tolerance,
    ) -> FormationStep {
        let now = Instant::now();
        let position = self.known.values().position(|store| store == local);
        let (Some(position), Some(first_at)) = (position, self.first_at) else {
            if now < self.register_at {
                return FormationStep::Wait;
            }
            self.register_at = now + REGISTRATION_RETRY_INTERVAL;
            return FormationStep::Register;
        };
        let quiet_until = self.changed_at + FORMATION_QUIET_PERIOD;
        let due = quiet_until.min(first_at + FORMATION_TIMEOUT);
        let stagger = FORMATION_STAGGER.saturating_mul(u32::try_from(position).unwrap_or(u32::MAX));
        if now < due + stagger {
            return FormationStep::Wait;
        }
        let registered: Vec<Member> = self.known.values().cloned().collect();
        stores
            .form(&registered, tolerance)
            .map_or(FormationStep::Wait, FormationStep::Form)
    }
}

impl Default for Formation {
    fn default() -> Self {
        Self::new()
    }
}
