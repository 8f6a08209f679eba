//! What a disk's content may vouch for: that it holds everything that its store
//! ever acknowledged as a member of a group.

use stageyoke_directory::{GroupNumber, StoreGroups};

/// For which group a disk is complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Completeness {
    /// It may lack something: it was lost, or has not been filled yet.
    #[default]
    Incomplete,
    /// It has been there since before the groups were formed, when nothing had
    /// been kept by anybody: complete for the group that the store was formed
    /// into, if it was.
    SinceFormation,
    /// For this group.
    Of(GroupNumber),
}

const SINCE_FORMATION: &str = "since formation";
const OF_GROUP: &str = "of group ";

impl Completeness {
    /// Whether the disk of the store on this machine is complete for a group.
    pub fn is_complete_for(self, group: GroupNumber, node: &str, stores: &StoreGroups) -> bool {
        match self {
            Self::Incomplete => false,
            Self::Of(complete) => complete == group,
            Self::SinceFormation => {
                !stores.is_formed() || stores.group_of_node(node) == Some(group)
            }
        }
    }

    /// As it stands in the disk's mark; `None` where there is to be no mark.
    pub fn mark(self) -> Option<String> {
        match self {
            Self::Incomplete => None,
            Self::SinceFormation => Some(SINCE_FORMATION.to_owned()),
            Self::Of(GroupNumber(number)) => Some(format!("{OF_GROUP}{number}")),
        }
    }

    /// Reads a mark. One that can't be read vouches for nothing.
    pub fn from_mark(mark: &str) -> Self {
        if mark == SINCE_FORMATION {
            return Self::SinceFormation;
        }
        let number = mark
            .strip_prefix(OF_GROUP)
            .and_then(|rest| rest.parse().ok());
        number.map_or(Self::Incomplete, |number| Self::Of(GroupNumber(number)))
    }
}
