//! Optional contracts of a deployment, drawn from the seed of a run.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::standins::platform::names::{OVERLOAD_CONTRACT, POOL_CONTRACT};

/// Contracts that change how the product behaves.
pub const CONTRACTS: [&str; 2] = [OVERLOAD_CONTRACT, POOL_CONTRACT];
/// Keeps the draw apart from the other draws of the same seed.
const SEED_SALT: u64 = 0x636f_6e74_7261_6374;

/// Returns all contracts.
pub fn all() -> Vec<String> {
    CONTRACTS.map(str::to_owned).to_vec()
}

/// Draws a subset of the contracts from a seed.
pub fn draw(seed: u64) -> Vec<String> {
    let mut random = ChaCha8Rng::seed_from_u64(seed ^ SEED_SALT);
    let drawn = CONTRACTS.iter().filter(|_| random.random_bool(0.5));
    drawn.map(|name| (*name).to_owned()).collect()
}

/// Reads names that are separated by commas; `none` stands for no contract.
pub fn parse(names: &str) -> Option<Vec<String>> {
    if names == "none" {
        return Some(Vec::new());
    }
    let names = names.split(',').map(str::trim);
    let known = names.map(|name| CONTRACTS.contains(&name).then(|| name.to_owned()));
    known.collect()
}
