//! Stand-in for the platform's machine list. It returns whatever was set last,
//! which may differ from the machines that are running.

use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use serde::Serialize;
use stageyoke_node::backends::Body;

use super::{Handler, respond, respond_json};

/// Entry of the machine list.
#[derive(Clone, Debug, Serialize)]
pub struct ListedMachine {
    /// IP address and port that other nodes connect to.
    pub address: String,
    /// `true` if the platform plans to take the machine away.
    pub leaving: bool,
}

/// In-memory machine list.
#[derive(Default)]
pub struct MachineListStandIn {
    machines: Mutex<Vec<ListedMachine>>,
}

impl MachineListStandIn {
    /// Replaces all entries.
    pub fn set_machines(&self, machines: Vec<ListedMachine>) {
        if let Ok(mut listed) = self.machines.lock() {
            *listed = machines;
        }
    }
}

impl Handler for MachineListStandIn {
    async fn handle(self: Arc<Self>, _request: Request<Incoming>) -> Response<Body> {
        match self.machines.lock() {
            Ok(machines) => respond_json(&*machines),
            Err(_) => respond(StatusCode::INTERNAL_SERVER_ERROR, ""),
        }
    }
}
