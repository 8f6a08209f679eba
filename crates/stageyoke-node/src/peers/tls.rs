//! Mutual TLS between nodes, with keys and certificates from files that are
//! read again when they change.

use std::fmt;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::WebPkiClientVerifier;
use rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio::net::TcpStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::settings::TlsFiles;

/// Name that every node's certificate must carry, besides being signed by the
/// cluster's authority.
pub const NODE_NAME: &str = "stageyoke-node";

/// Why the files could not be used.
#[derive(Debug)]
pub struct TlsError(String);

impl fmt::Display for TlsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for TlsError {}

struct Loaded {
    changed_at: Option<SystemTime>,
    server: Arc<ServerConfig>,
    client: Arc<ClientConfig>,
}

/// A node's keys and certificates.
pub struct TlsIdentity {
    files: TlsFiles,
    loaded: Mutex<Loaded>,
}

impl TlsIdentity {
    /// Reads the files.
    pub fn load(files: TlsFiles) -> Result<Self, TlsError> {
        let loaded = load(&files)?;
        Ok(Self {
            files,
            loaded: Mutex::new(loaded),
        })
    }

    /// Reads the files again if one has changed. A broken new file leaves the
    /// old content in use.
    pub fn reload_if_changed(&self) -> Result<bool, TlsError> {
        let changed_at = last_change(&self.files);
        let Ok(mut current) = self.loaded.lock() else {
            return Ok(false);
        };
        if current.changed_at == changed_at {
            return Ok(false);
        }
        *current = load(&self.files)?;
        Ok(true)
    }

    pub(super) async fn connect(
        &self,
        stream: TcpStream,
    ) -> io::Result<tokio_rustls::client::TlsStream<TcpStream>> {
        let client = self.with(|loaded| loaded.client.clone())?;
        let name = ServerName::try_from(NODE_NAME).map_err(io::Error::other)?;
        TlsConnector::from(client).connect(name, stream).await
    }

    pub(super) async fn accept(
        &self,
        stream: TcpStream,
    ) -> io::Result<tokio_rustls::server::TlsStream<TcpStream>> {
        let server = self.with(|loaded| loaded.server.clone())?;
        TlsAcceptor::from(server).accept(stream).await
    }

    fn with<T>(&self, read: impl FnOnce(&Loaded) -> T) -> io::Result<T> {
        let loaded = self.loaded.lock();
        let loaded = loaded.map_err(|_| io::Error::other("TLS files are being replaced"))?;
        Ok(read(&loaded))
    }
}

fn last_change(files: &TlsFiles) -> Option<SystemTime> {
    let paths = [&files.certificate, &files.private_key, &files.authority];
    let changes = paths.iter().map(|path| {
        let metadata = std::fs::metadata(path);
        metadata.and_then(|metadata| metadata.modified()).ok()
    });
    changes.max().flatten()
}

fn load(files: &TlsFiles) -> Result<Loaded, TlsError> {
    let changed_at = last_change(files);
    let mut authority = RootCertStore::empty();
    for certificate in certificates(&files.authority)? {
        let added = authority.add(certificate);
        added.map_err(|error| TlsError(format!("{}: {error}", files.authority.display())))?;
    }
    let authority = Arc::new(authority);
    let chain = certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.private_key)
        .map_err(|error| TlsError(format!("{}: {error}", files.private_key.display())))?;
    let verifier = WebPkiClientVerifier::builder(authority.clone())
        .build()
        .map_err(|error| TlsError(error.to_string()))?;
    let server = ServerConfig::builder()
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain.clone(), key.clone_key())
        .map_err(|error| TlsError(error.to_string()))?;
    let client = ClientConfig::builder()
        .with_root_certificates(authority)
        .with_client_auth_cert(chain, key)
        .map_err(|error| TlsError(error.to_string()))?;
    Ok(Loaded {
        changed_at,
        server: Arc::new(server),
        client: Arc::new(client),
    })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, TlsError> {
    let describe = |error| TlsError(format!("{}: {error}", path.display()));
    let found = CertificateDer::pem_file_iter(path).map_err(describe)?;
    found.collect::<Result<_, _>>().map_err(describe)
}
