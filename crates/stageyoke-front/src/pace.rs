//! What answers of plain services usually take, by route: against it a front judges
//! how long a replica took. Routes of one service differ in their work.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use stageyoke_types::Text;

/// Part of the answers that are faster than the time that counts as usual: well below
/// a half, since most replicas may be slow at once.
const USUAL_PART: f64 = 0.25;
/// How far one answer moves the usual time's logarithm: some fifty answers halve or
/// double it.
const STEP: f64 = 0.05;
/// Routes that are remembered; names change with each configuration.
const MOST_ROUTES: usize = 256;
/// Shortest time that is told apart.
const SHORTEST: Duration = Duration::from_micros(200);

/// Usual times by route.
#[derive(Debug, Default)]
pub struct UsualTimes {
    logarithms: RefCell<HashMap<Text, f64>>,
}

impl UsualTimes {
    /// How many times as long as usual an answer took; it counts from now on.
    pub fn ratio(&self, route: &Text, took: Duration) -> f64 {
        let time = took.max(SHORTEST).as_secs_f64().ln();
        let mut logarithms = self.logarithms.borrow_mut();
        if logarithms.len() >= MOST_ROUTES && !logarithms.contains_key(route) {
            logarithms.clear();
        }
        let usual = logarithms.entry(route.clone()).or_insert(time);
        let ratio = (time - *usual).exp();
        *usual += match time > *usual {
            true => STEP * USUAL_PART,
            false => -STEP * (1.0 - USUAL_PART),
        };
        ratio
    }
}
