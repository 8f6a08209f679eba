//! Answers fronts and other stores over their connections.

use std::io;
use std::rc::Rc;
use std::sync::Arc;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::extension::ExtensionFields;
use crate::frame::{self, Received};
use crate::local_store::{LocalStore, RequestedFields};
use crate::message::{Numbered, Request};
use crate::peer_version::PeerVersion;
use crate::socket;

/// Requests of one connection that are answered at once; more wait in the
/// sockets. Fronts have some tens under way with a store.
const MOST_UNDER_WAY: usize = 128;

/// Accepts connections for ever.
pub async fn serve(local_store: Rc<LocalStore>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                socket::configure(&stream);
                tokio::task::spawn_local(serve_connection(local_store.clone(), stream));
            }
            Err(_) => tokio::time::sleep(std::time::Duration::from_millis(50)).await,
        }
    }
}

async fn serve_connection(local_store: Rc<LocalStore>, stream: TcpStream) {
    let address = stream
        .peer_addr()
        .map_or_else(|error| error.to_string(), |peer| peer.to_string());
    let peer = Rc::new(PeerVersion::unknown(address.clone()));
    let (reader, writer) = stream.into_split();
    let (replies, outbox) = unbounded_channel();
    let sending = tokio::task::spawn_local(frame::write_queued_frames(writer, outbox));
    let under_way = Arc::new(Semaphore::new(MOST_UNDER_WAY));
    let mut reader = BufReader::new(reader);
    let error = loop {
        let received = match frame::read_with_fields::<Request>(&mut reader).await {
            Ok(received) => received,
            Err(error) => break error,
        };
        let Received {
            message,
            extension_fields: extensions,
        } = received;
        peer.record_greeting(&extensions);
        let fields = local_store.apply_request_fields(&message.content, extensions);
        let Ok(room) = under_way.clone().acquire_owned().await else {
            break io::ErrorKind::ConnectionAborted.into();
        };
        let behind = Behind {
            fields,
            peer: peer.clone(),
        };
        let answering = answer_one(local_store.clone(), message, behind, room, replies.clone());
        tokio::task::spawn_local(answering);
    };
    frame::log_read_error(&address, &error);
    sending.abort();
}

/// What goes behind a reply, and to whom.
struct Behind {
    fields: RequestedFields,
    peer: Rc<PeerVersion>,
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
    local_store: Rc<LocalStore>,
    request: Numbered<Request>,
    behind: Behind,
    room: OwnedSemaphorePermit,
    replies: UnboundedSender<Outgoing>,
) {
    let content = local_store.handle_request(request.content).await;
    let extensions = match behind.peer.reads_extension_fields() {
        true => behind
            .peer
            .fields_for_next_message(&local_store.reply_fields(behind.fields)),
        false => ExtensionFields::default(),
    };
    let reply = Numbered {
        number: request.number,
        content,
    };
    let bytes = frame::encode_with_fields(&reply, &extensions);
    let _ = replies.send(Outgoing { bytes, _room: room });
}
