//! Server for the connections of fronts and other stores.

use std::io;
use std::rc::Rc;
use std::sync::Arc;

use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::directory_transfers::DirectoryTransfer;
use crate::extension::ExtensionFields;
use crate::frame::{self, Received};
use crate::local_store::{HandledRequest, LocalStore, RequestedFields};
use crate::message::{Numbered, Refusal, Reply, Request, UNREQUESTED};
use crate::peer_version::PeerVersion;
use crate::reply_memory::ReplyShare;
use crate::restriction_watchers::PushFields;
use crate::socket;

/// Maximum number of requests of one connection that are handled at once; further requests
/// wait in the socket buffers.
const MAX_IN_FLIGHT_REQUESTS: usize = 128;

/// Accepts connections until the task is dropped.
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
    let (replies, queued_replies) = unbounded_channel();
    let send_task = tokio::task::spawn_local(frame::write_queued_frames(writer, queued_replies));
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT_REQUESTS));
    let mut reader = BufReader::new(reader);
    let mut watches_restrictions = false;
    let error = loop {
        let received = match frame::read_with_fields::<Request>(&mut reader).await {
            Ok(received) => received,
            Err(error) => break error,
        };
        let Received {
            message,
            extension_fields,
        } = received;
        peer.record_greeting(&extension_fields);
        if extension_fields.known_restrictions.is_some() && !watches_restrictions {
            watches_restrictions = true;
            let pushing = push_fields(peer.clone(), in_flight.clone(), replies.clone());
            local_store.restriction_watchers.add(pushing);
        }
        let ledger_retention = extension_fields.ledger_retention_seconds;
        let requested_fields = local_store.apply_request_fields(&message.content, extension_fields);
        let Ok(permit) = in_flight.clone().acquire_owned().await else {
            break io::ErrorKind::ConnectionAborted.into();
        };
        let context = ReplyContext {
            ledger_retention,
            requested_fields,
            peer: peer.clone(),
        };
        let handling = handle_one(
            local_store.clone(),
            message,
            context,
            permit,
            replies.clone(),
        );
        tokio::task::spawn_local(handling);
    };
    frame::log_read_error(&address, &error);
    send_task.abort();
}

/// What the fields of a request ask for, and the peer that receives the reply.
struct ReplyContext {
    /// Retention of the ledger of the record to append, in seconds.
    ledger_retention: Option<u32>,
    requested_fields: RequestedFields,
    peer: Rc<PeerVersion>,
}

/// An encoded reply, which holds its permit and its shares of the memory for copies of the
/// directory and for large replies until it is written.
struct EncodedReply {
    bytes: Vec<u8>,
    _permit: OwnedSemaphorePermit,
    _transfer: Option<DirectoryTransfer>,
    _share: Option<ReplyShare>,
}

impl AsRef<[u8]> for EncodedReply {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Returns a function that sends fields on a connection without a request. While too many replies
/// wait to be written, nothing is sent: the peer asks again later.
fn push_fields(
    peer: Rc<PeerVersion>,
    in_flight: Arc<Semaphore>,
    replies: UnboundedSender<EncodedReply>,
) -> PushFields {
    Box::new(move |fields| {
        let Ok(permit) = in_flight.clone().try_acquire_owned() else {
            return !replies.is_closed();
        };
        let push = Numbered {
            number: UNREQUESTED,
            content: Reply::Pong,
        };
        let fields = peer.fields_for_next_message(fields);
        let pushed = EncodedReply {
            bytes: frame::encode_with_fields(&push, &fields),
            _permit: permit,
            _transfer: None,
            _share: None,
        };
        replies.send(pushed).is_ok()
    })
}

async fn handle_one(
    local_store: Rc<LocalStore>,
    request: Numbered<Request>,
    context: ReplyContext,
    permit: OwnedSemaphorePermit,
    replies: UnboundedSender<EncodedReply>,
) {
    let transfers = &local_store.directory_transfers;
    let is_directory = matches!(request.content, Request::Directory | Request::Items);
    let transfer = is_directory.then(|| transfers.try_start()).flatten();
    let reply_bytes = local_store.reply_record_bytes(&request.content);
    let share = local_store.reply_memory.acquire(reply_bytes).await;
    // Without room for the reply, the requester asks another store.
    let handled = match (&share, is_directory && transfer.is_none()) {
        (None, _) => HandledRequest::from(Reply::Refused(Refusal::MemoryFull)),
        (Some(_), true) => HandledRequest::from(Reply::DirectoryUnknown),
        (Some(_), false) => {
            let handling =
                local_store.handle_extended_request(request.content, context.ledger_retention);
            handling.await
        }
    };
    let content = context.requested_fields.omit_known_item(handled.reply);
    let extension_fields = match context.peer.reads_extension_fields() {
        true => context.peer.fields_for_next_message(&ExtensionFields {
            ledger_retentions: handled.ledger_retentions,
            later_ledger_entries: handled.later_ledger_entries,
            missing_of_chain: handled.missing_of_chain,
            ..local_store.reply_fields(context.requested_fields)
        }),
        false => ExtensionFields::default(),
    };
    let reply = Numbered {
        number: request.number,
        content,
    };
    let bytes = encode_reply(&reply, &extension_fields, &context.peer);
    if transfer.is_some() {
        transfers.record_size(bytes.len());
    }
    let _ = replies.send(EncodedReply {
        bytes,
        _permit: permit,
        _transfer: transfer,
        _share: share,
    });
}

/// Encodes a reply. One that is larger than the peer accepts would end the connection, so it is
/// replaced by a refusal.
fn encode_reply(
    reply: &Numbered<Reply>,
    extension_fields: &ExtensionFields,
    peer: &PeerVersion,
) -> Vec<u8> {
    let bytes = frame::encode_with_fields(reply, extension_fields);
    if frame::fits(&bytes) {
        return bytes;
    }
    let detail = format!("reply_to={} bytes={}", peer.address(), bytes.len());
    observe::record_event(Event::FrameTooLarge, &detail);
    frame::encode(&Numbered {
        number: reply.number,
        content: Reply::Refused(Refusal::MemoryFull),
    })
}
