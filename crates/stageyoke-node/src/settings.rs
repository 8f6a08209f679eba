//! The settings file of one node, checked whole before anything is opened.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use stageyoke_config::problem::{Problem, Problems, Severity};
use stageyoke_config::reader::{Document, Located, Reader};
use stageyoke_config::schema::{DefaultValue, Field, Kind, Schema, number, optional, required};

use crate::events::LogFormat;

const MEBIBYTE: u64 = 1 << 20;

/// Every key of the settings file.
pub const SETTINGS: Schema = Schema {
    sections: &[],
    fields: &[
        required(
            "",
            "name",
            Kind::Text,
            "Name of the machine; a replacement keeps it.",
        ),
        required("", "zone", Kind::Text, "Zone the machine stands in."),
        optional(
            "",
            "region",
            Kind::Text,
            DefaultValue::Text("default"),
            "Region the zone belongs to.",
        ),
        required(
            "",
            "peer_address",
            Kind::Text,
            "IP address and port for other nodes, TCP and UDP.",
        ),
        required(
            "",
            "caller_address",
            Kind::Text,
            "IP address and port for callers.",
        ),
        required(
            "",
            "operator_address",
            Kind::Text,
            "IP address and port for operators.",
        ),
        optional(
            "",
            "seeds",
            Kind::TextList,
            DefaultValue::Empty,
            "Peer addresses of nodes that may already run.",
        ),
        optional(
            "",
            "store_addresses",
            Kind::TextList,
            DefaultValue::Empty,
            "Addresses of the key-value service.",
        ),
        optional(
            "",
            "machine_list_address",
            Kind::Text,
            DefaultValue::Text(""),
            "Address of the platform's machine list.",
        ),
        required(
            "",
            "cluster_key_file",
            Kind::Text,
            "File with the secret shared by the nodes of this cluster.",
        ),
        optional(
            "",
            "certificate_file",
            Kind::Text,
            DefaultValue::Text(""),
            "This node's certificate (PEM), for connections between nodes.",
        ),
        optional(
            "",
            "private_key_file",
            Kind::Text,
            DefaultValue::Text(""),
            "Key of the certificate (PEM).",
        ),
        optional(
            "",
            "authority_file",
            Kind::Text,
            DefaultValue::Text(""),
            "Certificate authority of the cluster (PEM).",
        ),
        optional(
            "",
            "data_folder",
            Kind::Text,
            DefaultValue::Text(""),
            "Folder for durable state; none means that nothing is kept.",
        ),
        number(
            "",
            "data_limit_mebibytes",
            (16, 1 << 24),
            "MiB",
            4_096,
            "Most bytes in the data folder.",
        ),
        number(
            "",
            "shards",
            (1, 65_536),
            "",
            256,
            "Number of shards; the same on every node, and fixed for good.",
        ),
        number(
            "",
            "founders",
            (1, 10_000),
            "nodes",
            3,
            "Nodes that form a new cluster together.",
        ),
        number(
            "",
            "drain_seconds",
            (1, 3_600),
            "s",
            30,
            "Longest time to finish streams when stopping.",
        ),
        optional(
            "",
            "log_format",
            Kind::Choice(&["text", "json"]),
            DefaultValue::Text("text"),
            "Form of log lines.",
        ),
    ],
};

/// Files for mutual TLS between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsFiles {
    /// Certificate.
    pub certificate: PathBuf,
    /// Its key.
    pub private_key: PathBuf,
    /// Authority that signed every node's certificate.
    pub authority: PathBuf,
}

/// A node's checked settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the machine.
    pub name: String,
    /// Zone.
    pub zone: String,
    /// Region.
    pub region: String,
    /// For other nodes.
    pub peer_address: SocketAddr,
    /// For callers.
    pub caller_address: SocketAddr,
    /// For operators.
    pub operator_address: SocketAddr,
    /// Nodes that may already run.
    pub seeds: Vec<SocketAddr>,
    /// Key-value service.
    pub store_addresses: Vec<SocketAddr>,
    /// Machine list.
    pub machine_list_address: Option<SocketAddr>,
    /// Content of the cluster key file.
    pub cluster_key: Vec<u8>,
    /// Files for TLS, if it is used.
    pub tls: Option<TlsFiles>,
    /// Data folder, if there is one.
    pub data_folder: Option<PathBuf>,
    /// Most bytes in it.
    pub data_limit_bytes: u64,
    /// Number of shards.
    pub shards: u32,
    /// Nodes that form a new cluster together.
    pub founders: usize,
    /// Longest time to finish streams, s.
    pub drain_seconds: u64,
    /// Form of log lines.
    pub log_format: LogFormat,
}

/// Values given on the command line; they go before the file's.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Name.
    pub name: Option<String>,
    /// Zone.
    pub zone: Option<String>,
    /// Peer address.
    pub peer_address: Option<SocketAddr>,
    /// Caller address.
    pub caller_address: Option<SocketAddr>,
    /// Operator address.
    pub operator_address: Option<SocketAddr>,
}

/// Reads and checks a settings file.
pub fn load(path: &Path, overrides: &Overrides) -> Result<Settings, Problems> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|error| {
        let problem = Problem {
            severity: Severity::Error,
            span: 0..0,
            what: format!("cannot be read: {error}"),
            remedy: "give the path of a readable settings file".to_owned(),
        };
        Problems::new(&name, "", vec![problem])
    })?;
    parse(&name, &text, overrides)
}

/// Checks the text of a settings file.
pub fn parse(name: &str, text: &str, overrides: &Overrides) -> Result<Settings, Problems> {
    let mut document = Document::parse(text, SETTINGS)
        .map_err(|problem| Problems::new(name, text, vec![problem]))?;
    let mut settings = document.read_root(read);
    let problems = Problems::new(name, text, std::mem::take(&mut document.problems));
    if problems.has_errors() {
        return Err(problems);
    }
    overrides.apply(&mut settings);
    Ok(settings)
}

impl Overrides {
    fn apply(&self, settings: &mut Settings) {
        if let Some(name) = &self.name {
            settings.name = name.clone();
        }
        if let Some(zone) = &self.zone {
            settings.zone = zone.clone();
        }
        settings.peer_address = self.peer_address.unwrap_or(settings.peer_address);
        settings.caller_address = self.caller_address.unwrap_or(settings.caller_address);
        settings.operator_address = self.operator_address.unwrap_or(settings.operator_address);
    }
}

fn read(reader: &mut Reader<'_>) -> Settings {
    let data_folder = optional_path(reader, "data_folder");
    Settings {
        name: reader.text("name").value,
        zone: reader.text("zone").value,
        region: reader.text("region").value,
        peer_address: address(reader, "peer_address"),
        caller_address: address(reader, "caller_address"),
        operator_address: address(reader, "operator_address"),
        seeds: addresses(reader, "seeds"),
        store_addresses: addresses(reader, "store_addresses"),
        machine_list_address: optional_address(reader, "machine_list_address"),
        cluster_key: read_key(reader),
        tls: read_tls(reader),
        data_folder,
        data_limit_bytes: reader.number("data_limit_mebibytes").value * MEBIBYTE,
        shards: reader.number("shards").value as u32,
        founders: reader.number("founders").value as usize,
        drain_seconds: reader.number("drain_seconds").value,
        log_format: match reader.text("log_format").value.as_str() {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
        },
    }
}

fn address(reader: &mut Reader<'_>, key: &'static str) -> SocketAddr {
    let text = reader.text(key);
    parse_address(reader, &text)
}

fn addresses(reader: &mut Reader<'_>, key: &'static str) -> Vec<SocketAddr> {
    let texts = reader.text_list(key);
    let parsed = texts.iter().map(|text| parse_address(reader, text));
    parsed.collect()
}

fn optional_address(reader: &mut Reader<'_>, key: &'static str) -> Option<SocketAddr> {
    let text = reader.text(key);
    if text.value.is_empty() {
        return None;
    }
    Some(parse_address(reader, &text))
}

fn parse_address(reader: &mut Reader<'_>, text: &Located<String>) -> SocketAddr {
    text.value.parse().unwrap_or_else(|_| {
        if !text.value.is_empty() {
            let what = format!("`{}` is not an IP address and port", text.value);
            reader.error(text.span.clone(), what, "write it as \"10.0.0.1:7100\"");
        }
        SocketAddr::from(([127, 0, 0, 1], 0))
    })
}

fn optional_path(reader: &mut Reader<'_>, key: &'static str) -> Option<PathBuf> {
    let text = reader.text(key);
    (!text.value.is_empty()).then(|| PathBuf::from(text.value))
}

fn read_key(reader: &mut Reader<'_>) -> Vec<u8> {
    let file = reader.text("cluster_key_file");
    if file.value.is_empty() {
        return Vec::new();
    }
    match std::fs::read(&file.value) {
        Ok(content) if content.len() >= MIN_KEY_BYTES => content,
        Ok(_) => {
            let what = "the cluster key is too short".to_owned();
            reader.error(
                file.span,
                what,
                "write at least 16 random bytes to the file",
            );
            Vec::new()
        }
        Err(error) => {
            let what = format!("the cluster key cannot be read: {error}");
            reader.error(file.span, what, "give the path of a readable file");
            Vec::new()
        }
    }
}

/// Least length of a cluster key, bytes.
const MIN_KEY_BYTES: usize = 16;

fn read_tls(reader: &mut Reader<'_>) -> Option<TlsFiles> {
    let keys = ["certificate_file", "private_key_file", "authority_file"];
    let texts: Vec<Located<String>> = keys.iter().map(|key| reader.text(key)).collect();
    let given = texts.iter().filter(|text| !text.value.is_empty()).count();
    if given == 0 {
        return None;
    }
    for (key, text) in keys.iter().zip(&texts) {
        if text.value.is_empty() {
            let what = format!("`{key}` is missing beside the other two TLS files");
            reader.error(text.span.clone(), what, "give all three, or none");
        } else if let Err(error) = std::fs::metadata(&text.value) {
            let what = format!("`{key}` cannot be read: {error}");
            reader.error(text.span.clone(), what, "give the path of a readable file");
        }
    }
    Some(TlsFiles {
        certificate: PathBuf::from(&texts[0].value),
        private_key: PathBuf::from(&texts[1].value),
        authority: PathBuf::from(&texts[2].value),
    })
}

/// The keys of the settings file, for its page.
pub fn fields() -> &'static [Field] {
    SETTINGS.fields
}
