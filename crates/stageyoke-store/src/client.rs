//! Client connection of a front or a store to one store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use stageyoke_directory::{TransferTimeouts, wait_for_transfer};
use stageyoke_observe as observe;
use stageyoke_types::Event;
use tokio::io::BufReader;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::extension::ExtensionFields;
use crate::frame::{self, EncodedMessage, SharedFrame};
use crate::message::{Reply, Request};
use crate::peer_version::PeerVersion;
use crate::receive_progress::{ProgressReader, ReceiveProgress};
use crate::restricted_requests::RestrictedRequests;
use crate::socket;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
const RECONNECT_DELAY: Duration = Duration::from_millis(60);
/// A connection is closed if no data is received for this long while replies are
/// outstanding.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time without received data after which a ping is sent while replies are outstanding. A
/// store answers it at once even if its disk is slow.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The reason why a call got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallError {
    /// No connection could be opened; the request was not sent.
    NotConnected,
    /// The connection ended or the call timed out; the request may have been carried out.
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

/// A reply and its extension fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExtendedReply {
    /// The reply itself.
    pub reply: Reply,
    /// Extension fields that follow the reply; empty if the store does not support them.
    pub extension_fields: ExtensionFields,
}

type PendingCalls = Rc<RefCell<HashMap<u64, oneshot::Sender<ExtendedReply>>>>;

struct Call {
    request: EncodedMessage,
    extension_fields: Rc<ExtensionFields>,
    reply_sender: oneshot::Sender<ExtendedReply>,
}

/// Client of one store. Connects on first use and reconnects as needed.
pub struct StoreClient {
    address: String,
    calls: UnboundedSender<Call>,
    progress: Rc<ReceiveProgress>,
    task: JoinHandle<()>,
}

impl StoreClient {
    /// Creates a client for the store at this address. Must be called in a `LocalSet`.
    pub fn new(address: &str) -> Self {
        Self::with_restricted_requests(address, Rc::default())
    }

    /// Creates a client that notes which requests the store tells to be restricted.
    pub fn with_restricted_requests(
        address: &str,
        restricted_requests: Rc<RestrictedRequests>,
    ) -> Self {
        Self::start(address, Rc::default(), restricted_requests, true)
    }

    /// Creates a client for transfers, which records the progress of received data in
    /// `progress`. It sends no heartbeats, since their replies are no progress of a transfer.
    pub fn with_progress(address: &str, progress: Rc<ReceiveProgress>) -> Self {
        Self::start(address, progress, Rc::default(), false)
    }

    fn start(
        address: &str,
        progress: Rc<ReceiveProgress>,
        restricted_requests: Rc<RestrictedRequests>,
        sends_heartbeats: bool,
    ) -> Self {
        let (calls, queue) = unbounded_channel();
        let connection = Connection {
            address: address.to_owned(),
            queue,
            progress: progress.clone(),
            restricted_requests,
            last_number: 0,
            outstanding_since: Instant::now(),
            sends_heartbeats,
            last_heartbeat: None,
        };
        Self {
            address: address.to_owned(),
            calls,
            progress,
            task: tokio::task::spawn_local(connection.run()),
        }
    }

    /// Returns the address of the store.
    pub fn address(&self) -> &str {
        &self.address
    }

    /// Returns the progress of the data received from the store.
    pub fn receive_progress(&self) -> &ReceiveProgress {
        &self.progress
    }

    /// Sends a request and waits up to `call_timeout` for its reply.
    pub async fn call(&self, request: Request, call_timeout: Duration) -> Result<Reply, CallError> {
        self.call_encoded(EncodedMessage::encode(&request), call_timeout)
            .await
    }

    /// Sends a request with extension fields and waits for its reply, which may be large,
    /// as long as data arrives from the store and up to the total timeout.
    pub async fn call_with_transfer_timeouts(
        &self,
        request: Request,
        extension_fields: Rc<ExtensionFields>,
        timeouts: TransferTimeouts,
    ) -> Result<ExtendedReply, CallError> {
        let request = EncodedMessage::encode(&request);
        let call = self.call_with_fields(request, extension_fields, timeouts.total);
        let extended = wait_for_transfer(call, timeouts, || self.progress.bytes()).await;
        extended.ok_or(CallError::NoAnswer)?
    }

    /// Sends an encoded request and waits up to `call_timeout` for its reply.
    pub async fn call_encoded(
        &self,
        request: EncodedMessage,
        call_timeout: Duration,
    ) -> Result<Reply, CallError> {
        let extended = self
            .call_with_fields(request, Rc::default(), call_timeout)
            .await?;
        Ok(extended.reply)
    }

    /// Sends an encoded request with extension fields, which are left out if the store does
    /// not support them, and waits up to `call_timeout` for its reply.
    pub async fn call_with_fields(
        &self,
        request: EncodedMessage,
        extension_fields: Rc<ExtensionFields>,
        call_timeout: Duration,
    ) -> Result<ExtendedReply, CallError> {
        let (reply_sender, reply) = oneshot::channel();
        let call = Call {
            request,
            extension_fields,
            reply_sender,
        };
        self.calls.send(call).map_err(|_| CallError::NotConnected)?;
        match tokio::time::timeout(call_timeout, reply).await {
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
    queue: UnboundedReceiver<Call>,
    progress: Rc<ReceiveProgress>,
    restricted_requests: Rc<RestrictedRequests>,
    last_number: u64,
    outstanding_since: Instant,
    sends_heartbeats: bool,
    last_heartbeat: Option<Instant>,
}

struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Connection {
    async fn run(mut self) {
        while let Some(first_call) = self.queue.recv().await {
            let connecting = TcpStream::connect(self.address.as_str());
            match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
                Ok(Ok(stream)) => self.serve_connection(stream, first_call).await,
                Ok(Err(_)) | Err(_) => {
                    drop(first_call);
                    self.fail_queued_calls();
                    tokio::time::sleep(RECONNECT_DELAY).await;
                    self.fail_queued_calls();
                }
            }
        }
    }

    fn fail_queued_calls(&mut self) {
        while self.queue.try_recv().is_ok() {}
    }

    async fn serve_connection(&mut self, stream: TcpStream, first_call: Call) {
        socket::configure(&stream);
        let (reader, writer) = stream.into_split();
        let pending: PendingCalls = Rc::default();
        let (frames, queued_frames) = unbounded_channel();
        let (ended, mut receive_ended) = oneshot::channel();
        let _send_task = AbortOnDrop(tokio::task::spawn_local(async move {
            let _ = frame::write_queued_frames(writer, queued_frames).await;
        }));
        let peer_version = Rc::new(PeerVersion::unknown(self.address.clone()));
        let receiving = receive(
            self.address.clone(),
            ProgressReader::new(reader, self.progress.clone()),
            peer_version.clone(),
            pending.clone(),
            self.restricted_requests.clone(),
            ended,
        );
        let _receive_task = AbortOnDrop(tokio::task::spawn_local(receiving));
        self.send(first_call, &peer_version, &pending, &frames);
        loop {
            let deadline = self.silence_deadline(&pending);
            let heartbeat_at = self.next_heartbeat(&pending);
            tokio::select! {
                next = self.queue.recv() => match next {
                    Some(call) => self.send(call, &peer_version, &pending, &frames),
                    None => return,
                },
                _ = &mut receive_ended => return,
                () = tokio::time::sleep_until(heartbeat_at),
                    if self.sends_heartbeats && heartbeat_at < deadline =>
                {
                    drop_abandoned_calls(&pending);
                    if !pending.borrow().is_empty() {
                        self.send_heartbeat(&peer_version, &frames);
                    }
                }
                () = tokio::time::sleep_until(deadline) => {
                    if self.silence_deadline(&pending) <= Instant::now() {
                        self.log_silence(&pending);
                        return;
                    }
                }
            }
        }
    }

    /// Returns when to close the connection unless something is received earlier.
    fn silence_deadline(&self, pending: &PendingCalls) -> Instant {
        if pending.borrow().is_empty() {
            return Instant::now() + Duration::from_secs(3600);
        }
        let received_at = self.progress.last_received_at();
        received_at.map_or(self.outstanding_since, |at| at.max(self.outstanding_since))
            + SILENCE_TIMEOUT
    }

    /// Returns when to send a ping unless something is received earlier.
    fn next_heartbeat(&self, pending: &PendingCalls) -> Instant {
        let silent_since = self.silence_deadline(pending) - SILENCE_TIMEOUT;
        let last = self
            .last_heartbeat
            .map_or(silent_since, |at| at.max(silent_since));
        last + HEARTBEAT_INTERVAL
    }

    /// Sends a ping whose reply only shows that the store is alive.
    fn send_heartbeat(
        &mut self,
        peer_version: &PeerVersion,
        frames: &UnboundedSender<SharedFrame>,
    ) {
        self.last_heartbeat = Some(Instant::now());
        self.last_number += 1;
        let fields = peer_version.fields_for_next_message(&ExtensionFields::default());
        let ping = EncodedMessage::encode(&Request::Ping);
        let _ = frames.send(ping.frame(self.last_number, &fields));
    }

    fn log_silence(&self, pending: &PendingCalls) {
        let detail = format!(
            "peer={} outstanding={}",
            self.address,
            pending.borrow().len()
        );
        observe::record_event(Event::PeerSilent, &detail);
    }

    fn send(
        &mut self,
        call: Call,
        peer_version: &PeerVersion,
        pending: &PendingCalls,
        frames: &UnboundedSender<SharedFrame>,
    ) {
        self.last_number += 1;
        drop_abandoned_calls(pending);
        let mut pending_calls = pending.borrow_mut();
        if pending_calls.is_empty() {
            self.outstanding_since = Instant::now();
        }
        pending_calls.insert(self.last_number, call.reply_sender);
        let extension_fields = peer_version.fields_for_next_message(&call.extension_fields);
        let frame = call.request.frame(self.last_number, &extension_fields);
        let _ = frames.send(frame);
    }
}

/// Drops calls whose caller no longer waits.
fn drop_abandoned_calls(pending: &PendingCalls) {
    let mut pending = pending.borrow_mut();
    pending.retain(|_, reply_sender| !reply_sender.is_closed());
}

async fn receive(
    address: String,
    reader: ProgressReader<OwnedReadHalf>,
    peer_version: Rc<PeerVersion>,
    pending: PendingCalls,
    restricted_requests: Rc<RestrictedRequests>,
    ended: oneshot::Sender<()>,
) {
    let mut reader = BufReader::new(reader);
    let error = loop {
        let received = match frame::read_with_fields::<Reply>(&mut reader).await {
            Ok(received) => received,
            Err(error) => break error,
        };
        peer_version.record_greeting(&received.extension_fields);
        if let Some(restrictions) = &received.extension_fields.restrictions {
            restricted_requests.receive(&address, received.message.number, restrictions);
        }
        if let Some(reply_sender) = pending.borrow_mut().remove(&received.message.number) {
            let _ = reply_sender.send(ExtendedReply {
                reply: received.message.content,
                extension_fields: received.extension_fields,
            });
        }
    };
    frame::log_read_error(&address, &error);
    let _ = ended.send(());
}
