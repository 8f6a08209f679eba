//! The replicated state of a shard's programs: order of calls, history,
//! budgets and outcomes. Every replica applies the same commands in the same
//! order and reaches the same state.

mod begin;
mod command;
mod ledger;
mod state;
mod table;

pub use command::{
    AbandonCall, AbandonCause, BeginCall, CallOutcome, Command, EndReason, FinishCall, Message,
    MessageRole, Usage,
};
pub use ledger::{Ledger, Limits, Reservation};
pub use state::{Call, CallState, CallStatus, Program, ProgramView};
pub use table::{Applied, ProgramTable};
