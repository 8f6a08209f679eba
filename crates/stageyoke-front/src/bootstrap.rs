//! A start while the key-value service is down: the stores hand on what they
//! last saw of it.

use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{Interpreter, Item, KeyValueService, Mirror};
use stageyoke_store::StoreClient;
use stageyoke_store::message::{Reply, Request};
use stageyoke_types::Event;
use tokio::sync::mpsc::unbounded_channel;
use tokio::time::Instant;

use stageyoke_observe as observe;

/// How long the service itself has, before the stores are asked.
const SERVICE_FIRST: Duration = Duration::from_millis(100);
const ASK_WITHIN: Duration = Duration::from_millis(800);
const PAUSE: Duration = Duration::from_millis(100);
/// How long other stores are waited for after the first has answered.
const WAIT_FOR_OTHERS: Duration = Duration::from_millis(60);

/// Asks the stores at these addresses until the service, or one of them, has
/// answered.
pub async fn run<S: KeyValueService, I: Interpreter>(mirror: &Mirror<S, I>, stores: &[String]) {
    tokio::time::sleep(SERVICE_FIRST).await;
    let clients: Vec<Rc<StoreClient>> = stores
        .iter()
        .map(|address| Rc::new(StoreClient::new(address)))
        .collect();
    while mirror.last_contact().is_none() && !clients.is_empty() {
        let items = newest_items(&clients).await;
        let count = items.len();
        if mirror.seed_items(items) {
            observe::event(Event::SeededByStores, &format!("items={count}"));
            return;
        }
        tokio::time::sleep(PAUSE).await;
    }
}

/// The items of the store that has seen the latest change.
async fn newest_items(clients: &[Rc<StoreClient>]) -> Vec<Item> {
    let (answers, mut inbox) = unbounded_channel();
    for client in clients {
        let client = client.clone();
        let answers = answers.clone();
        tokio::task::spawn_local(async move {
            let _ = answers.send(client.call(Request::Items, ASK_WITHIN).await);
        });
    }
    drop(answers);
    let mut newest: Vec<Item> = Vec::new();
    let last_change = |items: &[Item]| items.iter().map(|item| item.revision).max();
    let mut until = Instant::now() + ASK_WITHIN;
    while let Ok(Some(answer)) = tokio::time::timeout_at(until, inbox.recv()).await {
        let Ok(Reply::Items(seen)) = answer else {
            continue;
        };
        let items: Vec<Item> = seen
            .into_iter()
            .map(|seen| Item {
                key: seen.key.to_string(),
                value: seen.value.0,
                revision: seen.revision,
            })
            .collect();
        if !items.is_empty() {
            until = until.min(Instant::now() + WAIT_FOR_OTHERS);
        }
        if last_change(&items) > last_change(&newest) {
            newest = items;
        }
    }
    newest
}
