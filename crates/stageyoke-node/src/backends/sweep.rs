//! The duty of an engine's coordinator towards the engine itself: its report,
//! and the release of what it holds for programs that are gone, also when the
//! order to release was lost.

use std::time::Duration;

use stageyoke_core::gateway::QueryAnswer;
use stageyoke_core::node::Input;
use stageyoke_types::EngineId;

use super::engine::EngineClient;
use super::engine_protocol::{LoadReport, program_key};
use crate::driver::{Command, DriverHandle, QueryKind};

/// How often engines are asked for their report.
const REPORT_PERIOD: Duration = Duration::from_secs(1);
/// Reports between two sweeps of an engine.
const REPORTS_PER_SWEEP: u64 = 5;
/// Programs looked up in one sweep of one engine.
const PROGRAMS_PER_SWEEP: usize = 64;

/// Runs until the driver stops.
pub async fn run(driver: DriverHandle, engines: EngineClient) {
    let mut interval = tokio::time::interval(REPORT_PERIOD);
    let mut round = 0_u64;
    loop {
        interval.tick().await;
        round += 1;
        let Some(status) = driver.status().await else {
            return;
        };
        for engine in status.engines {
            let (driver, engines) = (driver.clone(), engines.clone());
            let sweeps = round.is_multiple_of(REPORTS_PER_SWEEP);
            let offset = round / REPORTS_PER_SWEEP;
            tokio::spawn(async move {
                let report = probe(driver.clone(), engines.clone(), engine.clone()).await;
                if let Some(report) = report.filter(|_| sweeps) {
                    sweep(&driver, &engines, &engine, &report, offset).await;
                }
            });
        }
    }
}

/// Asks an engine how it is, and passes the answer on.
pub async fn probe(
    driver: DriverHandle,
    engines: EngineClient,
    engine: EngineId,
) -> Option<LoadReport> {
    let report = engines.load(&engine).await?;
    let leaving = report.leaving;
    driver.send(Command::Input(Input::EngineReport { engine, leaving }));
    Some(report)
}

/// Looks up some of the programs an engine holds, other ones each time.
async fn sweep(
    driver: &DriverHandle,
    engines: &EngineClient,
    engine: &EngineId,
    report: &LoadReport,
    offset: u64,
) {
    let count = report.programs.len().max(1);
    let start = (offset as usize * PROGRAMS_PER_SWEEP) % count;
    let names = report.programs.iter().cycle().skip(start);
    for name in names.take(PROGRAMS_PER_SWEEP.min(report.programs.len())) {
        let Some(program) = program_key(name) else {
            continue;
        };
        let answer = driver.query(QueryKind::Alive, program.clone()).await;
        // Only a committed answer counts; silence releases nothing.
        if answer == QueryAnswer::Alive(false) {
            engines.clone().release(engine.clone(), program).await;
        }
    }
}
