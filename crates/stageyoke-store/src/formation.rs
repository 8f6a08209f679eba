//! How the store groups come about at the first start of a deployment: each store
//! registers under a key of its own, and once no more of them come one of them forms
//! the groups. Pure: the caller makes the change under the condition that no groups
//! are formed yet.

use std::collections::BTreeMap;
use std::time::Duration;

use stageyoke_directory::{Member, StoreGroups, Tolerance};
use stageyoke_types::Text;
use tokio::time::Instant;

/// Stores of one start register spread over so long: the service takes some hundred
/// writes a second.
const REGISTER_SPREAD: Duration = Duration::from_millis(800);
/// A store that does not see its registration writes it again: the service may have
/// refused it, or is away.
const REGISTER_AGAIN: Duration = Duration::from_millis(1500);
/// The groups are formed when no store has registered for so long: machines
/// start within 0.3 s of one another, and changes are heard within 1.2 s.
const FORM_AFTER: Duration = Duration::from_millis(2000);
/// They are formed at the latest so long after the first registration was seen,
/// though stores still come: programs wait for them.
const FORM_WITHIN: Duration = Duration::from_millis(5000);
/// The first of the registered stores forms the groups; each further one waits
/// so much longer, in case those before it are gone.
const FORM_STAGGER: Duration = Duration::from_millis(500);

/// Stores that have registered, by machine name.
pub type Registrations = BTreeMap<Text, Member>;

/// What a store is to do before the groups are formed.
#[derive(Clone, Debug, PartialEq)]
pub enum FormationStep {
    /// Wait.
    Wait,
    /// Write its registration.
    Register,
    /// Form these groups.
    Form(StoreGroups),
}

/// What one store has seen of the registrations since its start.
#[derive(Clone, Debug)]
pub struct Formation {
    register_at: Instant,
    seen: Registrations,
    first_at: Option<Instant>,
    changed_at: Instant,
}

impl Formation {
    /// The process has just started.
    pub fn new() -> Self {
        let part: f64 = rand::random();
        let now = Instant::now();
        Self {
            register_at: now + REGISTER_SPREAD.mul_f64(part),
            seen: Registrations::new(),
            first_at: None,
            changed_at: now,
        }
    }

    /// The registrations are these now.
    pub fn update_registrations(&mut self, registered: &Registrations) {
        if self.seen == *registered {
            return;
        }
        let now = Instant::now();
        self.seen.clone_from(registered);
        self.first_at.get_or_insert(now);
        self.changed_at = now;
    }

    /// What this store is to do next.
    pub fn next_step(
        &mut self,
        stores: &StoreGroups,
        oneself: &Member,
        tolerance: &Tolerance,
    ) -> FormationStep {
        let now = Instant::now();
        let position = self.seen.values().position(|store| store == oneself);
        let (Some(position), Some(first_at)) = (position, self.first_at) else {
            if now < self.register_at {
                return FormationStep::Wait;
            }
            self.register_at = now + REGISTER_AGAIN;
            return FormationStep::Register;
        };
        let quiet = self.changed_at + FORM_AFTER;
        let due = quiet.min(first_at + FORM_WITHIN);
        let stagger = FORM_STAGGER.saturating_mul(u32::try_from(position).unwrap_or(u32::MAX));
        if now < due + stagger {
            return FormationStep::Wait;
        }
        let registered: Vec<Member> = self.seen.values().cloned().collect();
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
