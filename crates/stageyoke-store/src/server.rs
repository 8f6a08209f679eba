//! Answers fronts and other stores over their connections.

use std::rc::Rc;
use std::sync::Arc;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::frame;
use crate::keeper::Keeper;
use crate::message::{Numbered, Request};
use crate::socket;

/// Requests of one connection that are answered at once; more wait in the
/// sockets. Fronts have some tens under way with a store.
const MOST_UNDER_WAY: usize = 128;

/// Accepts connections for ever.
pub async fn serve(keeper: Rc<Keeper>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                socket::configure(&stream);
                tokio::task::spawn_local(serve_connection(keeper.clone(), stream));
            }
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn serve_connection(keeper: Rc<Keeper>, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let (replies, outbox) = unbounded_channel();
    let sending = tokio::task::spawn_local(frame::write_waiting(writer, outbox));
    let under_way = Arc::new(Semaphore::new(MOST_UNDER_WAY));
    let mut reader = BufReader::new(reader);
    while let Ok(request) = frame::read::<Numbered<Request>>(&mut reader).await {
        let Ok(room) = under_way.clone().acquire_owned().await else {
            break;
        };
        let answering = answer_one(keeper.clone(), request, room, replies.clone());
        tokio::task::spawn_local(answering);
    }
    sending.abort();
}

/// An encoded reply. It holds its part of the connection's room until it is
/// written.
struct Outgoing {
    bytes: Vec<u8>,
    _room: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for Outgoing {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

async fn answer_one(
    keeper: Rc<Keeper>,
    request: Numbered<Request>,
    room: OwnedSemaphorePermit,
    replies: UnboundedSender<Outgoing>,
) {
    let content = keeper.answer(request.content).await;
    let reply = Numbered {
        number: request.number,
        content,
    };
    let bytes = frame::encode(&reply);
    let _ = replies.send(Outgoing { bytes, _room: room });
}
