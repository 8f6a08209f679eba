//! Named injection points. Each switches off one safeguard, so that a test can
//! show that the checker of the promise it guards notices. Nothing in a daemon
//! sets one.

/// One safeguard that can be switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultPoint {
    /// A replica does not write its vote to disk.
    ForgetVote,
    /// A replica votes for every candidate of a term.
    VoteTwice,
    /// A leader commits what it alone holds.
    CommitWithoutMajority,
    /// A program's calls start without waiting for earlier ones.
    StartOutOfOrder,
    /// A call whose gateway died is handed out again even if it may not repeat.
    RepeatUnknown,
    /// Budgets are not checked at admission.
    IgnoreBudget,
    /// An ended program's engines are not told.
    KeepEngineMemory,
    /// A gateway says `not_run` without withdrawing the call it started.
    FalseNotRun,
    /// A gateway relays the answer of whichever attempt comes first.
    IgnoreAttempt,
    /// A node takes any configuration version it hears of.
    AcceptOlderConfig,
    /// A gateway goes on giving work to a back end that is leaving.
    IgnoreLeaving,
    /// A gateway sends each request to a leader only once.
    NoRetransmission,
    /// A node that was told to stop does so without finishing.
    StopAtOnce,
    /// History is kept without the tenant and program it belongs to.
    MixHistory,
}

/// A set of [`FaultPoint`]s; empty in production.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults(u32);

impl Faults {
    /// A set with one point.
    pub fn with(point: FaultPoint) -> Self {
        Self(1 << point as u32)
    }

    /// Whether a point is in the set.
    pub fn is_set(self, point: FaultPoint) -> bool {
        self.0 & (1 << point as u32) != 0
    }
}
