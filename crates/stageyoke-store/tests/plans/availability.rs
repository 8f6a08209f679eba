//! Records the probes that up-to-date fronts send to each group, to detect groups that
//! stop serving.

use stageyoke_directory::GroupNumber;

/// What a probe requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeKind {
    /// Store a turn.
    Append,
    /// Reserve tokens of a budget.
    Reservation,
    /// Look up a stored turn.
    StoredTurn,
    /// Look up a turn that never existed.
    UnknownTurn,
}

/// All kinds of probes that each group receives.
pub const PROBE_KINDS: [ProbeKind; 4] = [
    ProbeKind::Append,
    ProbeKind::Reservation,
    ProbeKind::StoredTurn,
    ProbeKind::UnknownTurn,
];

/// Fewer probes in a window prove nothing, since messages may be lost.
const MIN_PROBES: usize = 10;

/// A probe sent to a group.
#[derive(Clone, Copy, Debug)]
struct Probe {
    call: usize,
    group: GroupNumber,
    kind: ProbeKind,
    sent_at: u64,
    served: bool,
}

/// All probes sent so far.
#[derive(Clone, Debug, Default)]
pub struct Availability {
    probes: Vec<Probe>,
}

impl Availability {
    /// Records a probe that a front sends.
    pub fn record_probe(&mut self, call: usize, group: GroupNumber, kind: ProbeKind, sent_at: u64) {
        self.probes.push(Probe {
            call,
            group,
            kind,
            sent_at,
            served: false,
        });
    }

    /// Marks a probe as served; calls that are no probes are ignored.
    pub fn mark_served(&mut self, call: usize) {
        let position = self.probes.binary_search_by_key(&call, |probe| probe.call);
        if let Ok(position) = position {
            self.probes[position].served = true;
        }
    }

    /// Returns whether at least `MIN_PROBES` probes of this kind were sent to the group from
    /// `start` to `end`, and none of them was served.
    pub fn is_unavailable(
        &self,
        group: GroupNumber,
        kind: ProbeKind,
        start: u64,
        end: u64,
    ) -> bool {
        let newest_first = self.probes.iter().rev();
        let in_window = newest_first
            .skip_while(|probe| probe.sent_at > end)
            .take_while(|probe| probe.sent_at >= start);
        let served: Vec<bool> = in_window
            .filter(|probe| probe.group == group && probe.kind == kind)
            .map(|probe| probe.served)
            .collect();
        served.len() >= MIN_PROBES && !served.contains(&true)
    }
}
