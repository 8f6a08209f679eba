//! Whether groups serve: what fronts that hear of new groups ask all the time,
//! and what comes of it.

use stageyoke_directory::GroupNumber;

/// What is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// To keep a turn.
    Append,
    /// To reserve of a budget.
    Reservation,
    /// For a turn that was kept.
    KeptTurn,
    /// For a turn that never was.
    UnknownTurn,
}

/// Everything that is asked of a group.
pub const ASKS: [Ask; 4] = [
    Ask::Append,
    Ask::Reservation,
    Ask::KeptTurn,
    Ask::UnknownTurn,
];

/// Fewer questions than this in a window prove nothing: messages are lost.
const ENOUGH: usize = 10;

/// A question to a group.
#[derive(Clone, Copy, Debug)]
struct Asked {
    call: usize,
    group: GroupNumber,
    ask: Ask,
    at: u64,
    served: bool,
}

/// All questions so far.
#[derive(Clone, Debug, Default)]
pub struct Service {
    asked: Vec<Asked>,
}

impl Service {
    /// A front asks.
    pub fn ask(&mut self, call: usize, group: GroupNumber, ask: Ask, at: u64) {
        self.asked.push(Asked {
            call,
            group,
            ask,
            at,
            served: false,
        });
    }

    /// The group has served it.
    pub fn serve(&mut self, call: usize) {
        let position = self.asked.binary_search_by_key(&call, |asked| asked.call);
        if let Ok(position) = position {
            self.asked[position].served = true;
        }
    }

    /// Whether a group has served nothing of what it was asked in a window.
    pub fn rested(&self, group: GroupNumber, ask: Ask, from: u64, to: u64) -> bool {
        let newest_first = self.asked.iter().rev();
        let inside = newest_first
            .skip_while(|asked| asked.at > to)
            .take_while(|asked| asked.at >= from);
        let own: Vec<bool> = inside
            .filter(|asked| asked.group == group && asked.ask == ask)
            .map(|asked| asked.served)
            .collect();
        own.len() >= ENOUGH && !own.contains(&true)
    }
}
