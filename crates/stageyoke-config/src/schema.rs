//! Schema of the configuration file: unit, default, bounds and meaning of every key.
//!
//! The reader takes defaults and bounds from here. `docs/CONFIG.md` contains the same
//! tables; a test compares the two.

/// Type of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A string.
    Text,
    /// A list of strings.
    TextList,
    /// An integer within inclusive bounds.
    Number {
        /// Smallest valid value.
        min: u64,
        /// Largest valid value.
        max: u64,
    },
    /// An integer from 0 to 100.
    Percent,
    /// A boolean.
    Flag,
    /// One of these strings.
    Choice(&'static [&'static str]),
}

/// Value of a key that the file leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DefaultValue {
    /// No default: leaving out the key is an error.
    Required,
    /// Default of a string or a choice.
    Text(&'static str),
    /// Default of an integer or a percentage.
    Number(u64),
    /// Default of a boolean.
    Flag(bool),
    /// An empty list.
    Empty,
}

/// Description of one key.
#[derive(Clone, Copy, Debug)]
pub struct Field {
    /// Section, such as `tenant` for `[[tenant]]`; empty for keys before the first section.
    pub section: &'static str,
    /// Name of the key in the file.
    pub key: &'static str,
    /// Type of its value.
    pub kind: Kind,
    /// Unit of a number; empty if it has none.
    pub unit: &'static str,
    /// Value used if the file leaves out the key.
    pub default: DefaultValue,
    /// Description of the key in one sentence, as the reference page shows it.
    pub meaning: &'static str,
}

/// Description of one section.
#[derive(Clone, Copy, Debug)]
pub struct Section {
    /// Name of the section in the file.
    pub name: &'static str,
    /// True if it may appear any number of times (`[[name]]`), false if once (`[name]`).
    pub repeated: bool,
    /// Description of the section in one sentence, as the reference page shows it.
    pub meaning: &'static str,
}

/// Schema of a whole file.
#[derive(Clone, Copy, Debug)]
pub struct Schema {
    /// Sections in the order of the reference page.
    pub sections: &'static [Section],
    /// Keys of all sections, in the order of the reference page.
    pub fields: &'static [Field],
}

impl Schema {
    /// Returns the description of a section's key, if the schema has it.
    pub fn field(&self, section: &str, key: &str) -> Option<&'static Field> {
        let mut fields = self.fields.iter();
        fields.find(|field| field.section == section && field.key == key)
    }

    /// Returns the names of a section's keys.
    pub fn keys(&self, section: &str) -> Vec<&'static str> {
        let fields = self.fields.iter();
        let of_section = fields.filter(|field| field.section == section);
        of_section.map(|field| field.key).collect()
    }
}

impl Schema {
    /// Renders the schema as the Markdown tables of its reference page.
    pub fn markdown(&self) -> String {
        let root = Section {
            name: "",
            repeated: false,
            meaning: "Top of the file.",
        };
        let sections = std::iter::once(&root).chain(self.sections);
        sections
            .map(|section| self.section_markdown(section))
            .collect()
    }

    fn section_markdown(&self, section: &Section) -> String {
        let title = match (section.name, section.repeated) {
            ("", _) => String::new(),
            (name, true) => format!("## `[[{name}]]`\n\n"),
            (name, false) => format!("## `[{name}]`\n\n"),
        };
        let mut text = format!(
            "{title}{}\n\n| key | holds | default | meaning |\n| --- | --- | --- | --- |\n",
            section.meaning
        );
        for field in self
            .fields
            .iter()
            .filter(|field| field.section == section.name)
        {
            text.push_str(&format!(
                "| `{}` | {} | {} | {} |\n",
                field.key,
                field.describe_kind(),
                field.describe_default(),
                field.meaning
            ));
        }
        text.push('\n');
        text
    }
}

impl Field {
    /// Describes the valid values of the key for error messages and the reference page.
    pub fn describe_kind(&self) -> String {
        let unit = if self.unit.is_empty() {
            String::new()
        } else {
            format!(" ({})", self.unit)
        };
        match self.kind {
            Kind::Text => "a text in quotes".to_owned(),
            Kind::TextList => "a list of texts".to_owned(),
            Kind::Number { min, max } => format!("a whole number from {min} to {max}{unit}"),
            Kind::Percent => "a whole number from 0 to 100".to_owned(),
            Kind::Flag => "true or false".to_owned(),
            Kind::Choice(choices) => format!("one of: {}", choices.join(", ")),
        }
    }

    fn describe_default(&self) -> String {
        match self.default {
            DefaultValue::Required => "required".to_owned(),
            DefaultValue::Text("") | DefaultValue::Empty => "none".to_owned(),
            DefaultValue::Text(text) => format!("`{text}`"),
            DefaultValue::Number(number) => number.to_string(),
            DefaultValue::Flag(flag) => flag.to_string(),
        }
    }
}

/// Describes a key that the file must contain.
pub const fn required(
    section: &'static str,
    key: &'static str,
    kind: Kind,
    meaning: &'static str,
) -> Field {
    Field {
        section,
        key,
        kind,
        unit: "",
        default: DefaultValue::Required,
        meaning,
    }
}

/// Describes an integer with a default.
pub const fn number(
    section: &'static str,
    key: &'static str,
    bounds: (u64, u64),
    unit: &'static str,
    default: u64,
    meaning: &'static str,
) -> Field {
    Field {
        section,
        key,
        kind: Kind::Number {
            min: bounds.0,
            max: bounds.1,
        },
        unit,
        default: DefaultValue::Number(default),
        meaning,
    }
}

/// Describes a key of any type with a default.
pub const fn optional(
    section: &'static str,
    key: &'static str,
    kind: Kind,
    default: DefaultValue,
    meaning: &'static str,
) -> Field {
    Field {
        section,
        key,
        kind,
        unit: "",
        default,
        meaning,
    }
}

const fn section(name: &'static str, repeated: bool, meaning: &'static str) -> Section {
    Section {
        name,
        repeated,
        meaning,
    }
}

/// Schema version that this release accepts.
pub const SCHEMA_VERSION: u64 = 1;
/// Names of the queue orders in the file.
pub const QUEUE_ORDERS: &[&str] = &["first_come", "class_priority", "least_attained"];
/// Names of the placement policies in the file.
pub const PLACEMENT_POLICIES: &[&str] = &[
    "least_loaded",
    "strict_affinity",
    "bounded_spill",
    "cost_based",
];
/// Upper bound of numbers that need no tighter one.
const MAX_NUMBER: u64 = 1_000_000_000_000;
const SECONDS_PER_DAY: u64 = 86_400;

/// Schema of the configuration file.
pub const CONFIGURATION: Schema = Schema {
    sections: &[
        section("limits", false, "Limits towards callers."),
        section("policy", false, "Order of service and placement."),
        section("class", true, "Priority classes."),
        section("tenant", true, "Who may call."),
        section("model", true, "Models that engines serve."),
        section("engine", true, "Model engines."),
        section("program", true, "Kinds of agent programs."),
        section("tool", true, "Tool services that programs pause for."),
        section("pool", true, "Application replicas."),
        section(
            "route",
            true,
            "Paths passed through to application replicas.",
        ),
    ],
    fields: &[
        number(
            "",
            "schema",
            (SCHEMA_VERSION, SCHEMA_VERSION),
            "",
            SCHEMA_VERSION,
            "Version of this schema.",
        ),
        required("", "name", Kind::Text, "Name of the deployment."),
        number(
            "limits",
            "body_bytes",
            (1_024, 268_435_456),
            "bytes",
            4_194_304,
            "Longest request body.",
        ),
        number(
            "limits",
            "header_bytes",
            (1_024, 1_048_576),
            "bytes",
            65_536,
            "Longest request header.",
        ),
        number(
            "limits",
            "message_bytes",
            (1, 268_435_456),
            "bytes",
            1_048_576,
            "Longest single message of a call.",
        ),
        number(
            "limits",
            "request_seconds",
            (1, 3_600),
            "s",
            30,
            "Longest time a caller may take to send a request.",
        ),
        number(
            "limits",
            "stall_seconds",
            (1, 3_600),
            "s",
            30,
            "Longest time a caller may leave a stream unread.",
        ),
        optional(
            "policy",
            "queue",
            Kind::Choice(QUEUE_ORDERS),
            DefaultValue::Text("least_attained"),
            "Order in which waiting calls get an engine's slots.",
        ),
        optional(
            "policy",
            "placement",
            Kind::Choice(PLACEMENT_POLICIES),
            DefaultValue::Text("cost_based"),
            "How an engine is chosen for a call.",
        ),
        number(
            "policy",
            "ageing_seconds",
            (1, SECONDS_PER_DAY),
            "s",
            20,
            "Waiting time after which a call counts as one class more urgent.",
        ),
        number(
            "policy",
            "queue_limit",
            (1, 1_000_000),
            "calls",
            512,
            "Calls that may wait for one engine.",
        ),
        required("class", "name", Kind::Text, "Name."),
        required(
            "class",
            "priority",
            Kind::Number { min: 0, max: 3 },
            "Urgency, 0 the most urgent.",
        ),
        required("tenant", "name", Kind::Text, "Name."),
        required(
            "tenant",
            "key_hashes",
            Kind::TextList,
            "Hashes of its keys, as `stageyoke keys` prints them.",
        ),
        optional(
            "tenant",
            "programs",
            Kind::TextList,
            DefaultValue::Empty,
            "Program kinds it may use; none listed means all.",
        ),
        number(
            "tenant",
            "streams",
            (1, 1_000_000),
            "requests",
            256,
            "Requests it may have under way at one node.",
        ),
        number(
            "tenant",
            "weight",
            (1, 1_000),
            "",
            1,
            "Its share beside other tenants of the same class.",
        ),
        required("model", "name", Kind::Text, "Name."),
        number(
            "model",
            "context_tokens",
            (1, 100_000_000),
            "tokens",
            600_000,
            "Longest prompt and answer together.",
        ),
        required("engine", "name", Kind::Text, "Name."),
        required("engine", "model", Kind::Text, "Model it serves."),
        required(
            "engine",
            "address",
            Kind::Text,
            "IP address and port of its HTTP interface.",
        ),
        required("engine", "zone", Kind::Text, "Zone it stands in."),
        number(
            "engine",
            "slots",
            (1, 100_000),
            "calls",
            16,
            "Calls it is given at once.",
        ),
        number(
            "engine",
            "cache_tokens",
            (0, MAX_NUMBER),
            "tokens",
            0,
            "Size of its cache; 0 if not known.",
        ),
        optional(
            "engine",
            "leaving",
            Kind::Flag,
            DefaultValue::Flag(false),
            "It gets no new work.",
        ),
        required(
            "program",
            "name",
            Kind::Text,
            "Name; callers give it as `model`.",
        ),
        required("program", "class", Kind::Text, "Priority class."),
        required("program", "model", Kind::Text, "Model that serves it."),
        optional(
            "program",
            "repeatable",
            Kind::Flag,
            DefaultValue::Flag(true),
            "Whether a call without an idempotency key may run again after it may have run.",
        ),
        optional(
            "program",
            "tools",
            Kind::TextList,
            DefaultValue::Empty,
            "Tool services it pauses for.",
        ),
        number(
            "program",
            "calls",
            (0, MAX_NUMBER),
            "calls",
            0,
            "Most calls of a program and its sub-agents; 0 for no limit.",
        ),
        number(
            "program",
            "tokens_in",
            (0, MAX_NUMBER),
            "tokens",
            0,
            "Most prompt tokens of a program and its sub-agents; 0 for no limit.",
        ),
        number(
            "program",
            "tokens_out",
            (0, MAX_NUMBER),
            "tokens",
            0,
            "Most generated tokens of a program and its sub-agents; 0 for no limit.",
        ),
        number(
            "program",
            "wall_seconds",
            (0, MAX_NUMBER),
            "s",
            0,
            "Longest life of a program; 0 for no limit.",
        ),
        number(
            "program",
            "depth",
            (0, 32),
            "levels",
            0,
            "Levels of sub-agents below the root.",
        ),
        number(
            "program",
            "fan_out",
            (0, 10_000),
            "programs",
            0,
            "Direct sub-agents of one program.",
        ),
        number(
            "program",
            "idle_seconds",
            (1, MAX_NUMBER),
            "s",
            3_600,
            "Time without a call after which a program ends.",
        ),
        number(
            "program",
            "deadline_seconds",
            (1, SECONDS_PER_DAY),
            "s",
            120,
            "Time within which a call is answered.",
        ),
        number(
            "program",
            "idempotency_seconds",
            (1, MAX_NUMBER),
            "s",
            SECONDS_PER_DAY,
            "Time for which an answer is kept for its idempotency key.",
        ),
        number(
            "program",
            "max_tokens",
            (1, 1_000_000),
            "tokens",
            1_024,
            "Most tokens generated by a call that names no limit.",
        ),
        required("tool", "name", Kind::Text, "Name."),
        required("tool", "address", Kind::Text, "IP address and port."),
        number(
            "tool",
            "deadline_seconds",
            (1, SECONDS_PER_DAY),
            "s",
            30,
            "Time after which a tool call counts as hung.",
        ),
        required("pool", "name", Kind::Text, "Name."),
        required(
            "pool",
            "addresses",
            Kind::TextList,
            "IP address and port of each replica.",
        ),
        required(
            "route",
            "prefix",
            Kind::Text,
            "Path prefix, starting with a slash.",
        ),
        required("route", "pool", Kind::Text, "Pool that serves it."),
        optional(
            "route",
            "legacy_pool",
            Kind::Text,
            DefaultValue::Text(""),
            "Pool that served it before, until the cut-over is signed off.",
        ),
        optional(
            "route",
            "legacy_percent",
            Kind::Percent,
            DefaultValue::Number(0),
            "Share of requests that still go to the legacy pool.",
        ),
        optional(
            "route",
            "signed_off",
            Kind::Flag,
            DefaultValue::Flag(false),
            "The cut-over is signed off: the legacy pool gets nothing.",
        ),
        number(
            "route",
            "deadline_seconds",
            (1, SECONDS_PER_DAY),
            "s",
            30,
            "Time within which a replica must begin to answer, and longest pause within its answer.",
        ),
    ],
};
