//! Runs tests in virtual time.

use tokio::task::LocalSet;

/// Runs a test on a paused clock, which advances only while every task is idle.
pub fn in_virtual_time(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("runtime");
    LocalSet::new().block_on(&runtime, test);
}
