//! The platform's list of machines: a JSON array of objects with `address` and
//! `leaving`. It lags, so its addresses are only suggestions whom to ask.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use serde::Deserialize;
use stageyoke_core::node::Input;
use stageyoke_types::Text;

use crate::backends::{full_body, http_client, read_whole};
use crate::driver::{Command, DriverHandle};

/// How often the list is read.
const PERIOD: Duration = Duration::from_secs(10);
/// Longest wait for it.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Longest list: some 80,000 machines.
const MAX_LIST_BYTES: usize = 4 << 20;

#[derive(Debug, Deserialize)]
struct Machine {
    address: String,
    #[serde(default)]
    leaving: bool,
}

/// Reads the list regularly.
pub async fn watch(address: SocketAddr, driver: DriverHandle) {
    let http = http_client();
    let mut interval = tokio::time::interval(PERIOD);
    loop {
        interval.tick().await;
        let request = Request::get(format!("http://{address}/machines"));
        let Ok(request) = request.body(full_body(Vec::new())) else {
            return;
        };
        let read = tokio::time::timeout(TIMEOUT, async {
            let response = http.request(request).await.ok()?;
            let body = read_whole(response.into_body(), MAX_LIST_BYTES).await?;
            serde_json::from_slice::<Vec<Machine>>(&body).ok()
        });
        if let Ok(Some(machines)) = read.await {
            let staying = machines.into_iter().filter(|machine| !machine.leaving);
            let addresses = staying.map(|machine| Text::from(machine.address));
            let input = Input::MachineList(addresses.collect());
            driver.send(Command::Input(input));
        }
    }
}
