//! Memory of a process whose service answers several calls without end. The only test of its
//! process, because it measures the process's peak memory.

#[path = "support/endless.rs"]
mod endless;
#[path = "support/memory.rs"]
mod memory;

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use stageyoke_http::{CallError, HttpClient, HttpResponse};
use tokio::task::LocalSet;

use endless::{CHUNKED, start_endless_service};
use memory::peak_memory_kilobytes;

const IDLE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
const CALLS: usize = 8;
/// A third of the memory of a machine of 48 MB.
const MAX_GROWTH_KILOBYTES: u64 = 16 * 1024;

async fn call(client: Rc<HttpClient>) -> Result<HttpResponse, CallError> {
    let response = client.call(Method::GET, "/", Bytes::new(), IDLE_TIMEOUT);
    response.await
}

#[tokio::test]
async fn several_responses_without_end_use_little_memory() {
    let test = async {
        let (address, _) = start_endless_service(CHUNKED).await;
        let client = Rc::new(HttpClient::new(address, MAX_BODY_BYTES));
        let before = peak_memory_kilobytes();
        let calls: Vec<_> = (0..CALLS)
            .map(|_| tokio::task::spawn_local(call(client.clone())))
            .collect();
        let mut results = Vec::new();
        for call in calls {
            results.push(call.await.expect("a result"));
        }
        let growth = peak_memory_kilobytes() - before;
        assert!(growth < MAX_GROWTH_KILOBYTES, "{growth} kB");
        for result in results {
            assert_eq!(result.err(), Some(CallError::ResponseTooLarge));
        }
    };
    LocalSet::new().run_until(test).await;
}
