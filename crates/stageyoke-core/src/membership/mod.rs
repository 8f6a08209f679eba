//! Which nodes there are: probing with suspicion and incarnations, after SWIM
//! (Das, Gupta and Motivala, 2002), with changes carried on the probes.
//!
//! Each period a node probes one other, in a shuffled round. A node that does
//! not answer is probed through others in different zones, then suspected,
//! then declared dead unless it refutes with a higher incarnation. Dead nodes
//! and seeds are still probed rarely, so that a split heals by itself.

mod detector;
mod message;
mod table;

pub use detector::{Destination, Membership, MembershipOutput, MembershipSettings};
pub use message::{MemberInfo, MemberStatus, MemberUpdate, MembershipMessage, ProbeHeader};
pub use table::{Member, MemberChange, MemberTable};
