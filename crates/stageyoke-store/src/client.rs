//! A front's or a store's connection to one store.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::extension::ExtensionFields;
use crate::frame::{self, EncodedMessage};
use crate::message::{Reply, Request};
use crate::peer_version::PeerVersion;
use crate::socket;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const RECONNECT_PAUSE: Duration = Duration::from_millis(60);
/// A connection that owes an answer this long is given up.
const SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// There is no connection; nothing was sent.
    NotConnected,
    /// The connection ended or the time ran out; it may have been done.
    NoAnswer,
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotConnected => "not_connected",
            Self::NoAnswer => "no_answer",
        })
    }
}

impl std::error::Error for CallError {}

/// A reply with the fields behind it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtendedReply {
    /// The reply.
    pub reply: Reply,
    /// What travelled behind it; nothing from a store that reads no fields.
    pub extension_fields: ExtensionFields,
}

type Pending = Rc<RefCell<HashMap<u64, oneshot::Sender<ExtendedReply>>>>;

struct Outgoing {
    request: EncodedMessage,
    extensions: Rc<ExtensionFields>,
    answer: oneshot::Sender<ExtendedReply>,
}

/// One store, with a connection that is opened when it is first needed.
pub struct StoreClient {
    address: String,
    commands: UnboundedSender<Outgoing>,
    task: JoinHandle<()>,
}

impl StoreClient {
    /// A client of the store at this address. Needs a local task set.
    pub fn new(address: &str) -> Self {
        let (commands, inbox) = unbounded_channel();
        let connection = Connection {
            address: address.to_owned(),
            inbox,
            last_heard: Rc::default(),
            next_number: 0,
            owing_since: Instant::now(),
        };
        Self {
            address: address.to_owned(),
            commands,
            task: tokio::task::spawn_local(connection.run()),
        }
    }

    /// The store's address.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Sends a request and waits for its reply.
    pub async fn call(&self, request: Request, within: Duration) -> Result<Reply, CallError> {
        self.call_encoded(EncodedMessage::encode(&request), within)
            .await
    }

    /// Sends a request that was encoded before and waits for its reply.
    pub async fn call_encoded(
        &self,
        request: EncodedMessage,
        within: Duration,
    ) -> Result<Reply, CallError> {
        let answer = self
            .call_with_fields(request, Rc::default(), within)
            .await?;
        Ok(answer.reply)
    }

    /// The same with fields behind the request, which a store that reads none is not sent.
    pub async fn call_with_fields(
        &self,
        request: EncodedMessage,
        extensions: Rc<ExtensionFields>,
        within: Duration,
    ) -> Result<ExtendedReply, CallError> {
        let (answer, reply) = oneshot::channel();
        let outgoing = Outgoing {
            request,
            extensions,
            answer,
        };
        self.commands
            .send(outgoing)
            .map_err(|_| CallError::NotConnected)?;
        match tokio::time::timeout(within, reply).await {
            Ok(Ok(reply)) => Ok(reply),
            Ok(Err(_)) | Err(_) => Err(CallError::NoAnswer),
        }
    }
}

impl Drop for StoreClient {
    fn drop(&mut self) {
        self.task.abort();
    }
}

struct Connection {
    address: String,
    inbox: UnboundedReceiver<Outgoing>,
    last_heard: Rc<Cell<Option<Instant>>>,
    next_number: u64,
    owing_since: Instant,
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    async fn run(mut self) {
        while let Some(first) = self.inbox.recv().await {
            let connecting = TcpStream::connect(self.address.as_str());
            match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(stream)) => self.converse(stream, first).await,
                Ok(Err(_)) | Err(_) => {
                    drop(first);
                    self.fail_waiting();
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                    self.fail_waiting();
                }
            }
        }
    }

    fn fail_waiting(&mut self) {
        while self.inbox.try_recv().is_ok() {}
    }

    async fn converse(&mut self, stream: TcpStream, first: Outgoing) {
        socket::configure(&stream);
        let (reader, writer) = stream.into_split();
        let pending: Pending = Rc::default();
        let (frames, outbox) = unbounded_channel();
        let (ended, mut reader_ended) = oneshot::channel();
        let _sending = AbortOnDrop(tokio::task::spawn_local(async move {
            let _ = frame::write_queued_frames(writer, outbox).await;
        }));
        let peer = Rc::new(PeerVersion::unknown(self.address.clone()));
        let receiving = receive(
            self.address.clone(),
            reader,
            peer.clone(),
            pending.clone(),
            self.last_heard.clone(),
            ended,
        );
        let _receiving = AbortOnDrop(tokio::task::spawn_local(receiving));
        self.last_heard.set(Some(Instant::now()));
        self.send(first, &peer, &pending, &frames);
        loop {
            let silence = self.silence_deadline(&pending);
            tokio::select! {
                next = self.inbox.recv() => match next {
                    Some(outgoing) => self.send(outgoing, &peer, &pending, &frames),
                    None => return,
                },
                _ = &mut reader_ended => return,
                () = tokio::time::sleep_until(silence) => {
                    if self.silence_deadline(&pending) <= Instant::now() {
                        return;
                    }
                }
            }
        }
    }

    /// When the connection is given up, if nothing is heard before.
    fn silence_deadline(&self, pending: &Pending) -> Instant {
        let now = Instant::now();
        let heard = self.last_heard.get().unwrap_or(now).max(self.owing_since);
        if pending.borrow().is_empty() {
            return now + Duration::from_secs(3600);
        }
        heard + SILENCE_LIMIT
    }

    fn send(
        &mut self,
        outgoing: Outgoing,
        peer: &PeerVersion,
        pending: &Pending,
        frames: &UnboundedSender<Vec<u8>>,
    ) {
        self.next_number += 1;
        let mut waiting = pending.borrow_mut();
        // Calls whose caller has gone are not waited for.
        waiting.retain(|_, answer| !answer.is_closed());
        if waiting.is_empty() {
            self.owing_since = Instant::now();
        }
        waiting.insert(self.next_number, outgoing.answer);
        let extensions = peer.fields_for_next_message(&outgoing.extensions);
        let frame = outgoing.request.frame(self.next_number, &extensions);
        let _ = frames.send(frame);
    }
}

async fn receive(
    address: String,
    reader: OwnedReadHalf,
    peer: Rc<PeerVersion>,
    pending: Pending,
    last_heard: Rc<Cell<Option<Instant>>>,
    ended: oneshot::Sender<()>,
) {
    let mut reader = BufReader::new(reader);
    let error = loop {
        let received = match frame::read_with_fields::<Reply>(&mut reader).await {
            Ok(received) => received,
            Err(error) => break error,
        };
        last_heard.set(Some(Instant::now()));
        peer.record_greeting(&received.extension_fields);
        if let Some(answer) = pending.borrow_mut().remove(&received.message.number) {
            let _ = answer.send(ExtendedReply {
                reply: received.message.content,
                extension_fields: received.extension_fields,
            });
        }
    };
    frame::log_read_error(&address, &error);
    let _ = ended.send(());
}
