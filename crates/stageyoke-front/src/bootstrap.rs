//! Startup during a service outage: reads the directory from the stores.

use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Interpreter, KeyValueService, Mirror, TransferTimeouts};
use stageyoke_store::StoreClient;
use stageyoke_store::directory_relay::from_directory_item;
use stageyoke_store::message::{Reply, Request};
use stageyoke_types::Event;

use stageyoke_observe as observe;

/// Time given to the key-value service before the stores are asked.
const KEY_VALUE_SERVICE_HEAD_START: Duration = Duration::from_millis(250);
const STORE_TIMEOUTS: TransferTimeouts = TransferTimeouts {
    idle: Duration::from_millis(500),
    total: Duration::from_secs(10),
};
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Asks one store after another, starting with a random one, until the service or a store
/// has answered. One copy of the directory is enough, since it is replaced once the service
/// answers, and many fronts may start at once.
pub async fn run<S: KeyValueService, I: Interpreter>(mirror: &Mirror<S, I>, stores: &[String]) {
    tokio::time::sleep(KEY_VALUE_SERVICE_HEAD_START).await;
    if stores.is_empty() {
        return;
    }
    let mut index = rand::random_range(0..stores.len());
    while mirror.last_contact().is_none() {
        let client = StoreClient::new(&stores[index]);
        index = (index + 1) % stores.len();
        let call =
            client.call_with_transfer_timeouts(Request::Items, Rc::default(), STORE_TIMEOUTS);
        let items = match call.await.map(|answer| answer.reply) {
            Ok(Reply::Items(relayed)) => relayed.into_iter().map(from_directory_item).collect(),
            Ok(_) | Err(_) => Vec::new(),
        };
        let count = items.len();
        if mirror.seed_items(items) {
            observe::record_event(Event::SeededByStores, &format!("items={count}"));
            return;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
