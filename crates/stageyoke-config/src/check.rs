//! Parses and validates a configuration file; reports all of its problems together.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use stageyoke_core::coordinator::QueueOrder;
use stageyoke_core::gateway::PlacementPolicy;
use stageyoke_core::program::Limits;

use crate::model::{
    CallerLimits, Configuration, Engine, KEY_HASH_PREFIX, Model, Policy, Pool, ProgramKind, Route,
    Tenant, Tool,
};
use crate::problem::{Problem, Problems};
use crate::reader::{Document, Located, Reader};
use crate::schema::CONFIGURATION;

const MS_PER_SECOND: u64 = 1_000;
const KEY_HASH_HEX_DIGITS: usize = 64;

/// A valid configuration and the warnings about its file.
#[derive(Debug)]
pub struct CheckedConfig {
    /// The validated configuration.
    pub config: Configuration,
    /// Warnings about the file; may be empty.
    pub warnings: Problems,
}

/// Checks a configuration file. If it has errors, returns all errors and warnings.
pub fn check(name: &str, text: &str) -> Result<CheckedConfig, Problems> {
    let mut document = match Document::parse(text, CONFIGURATION) {
        Ok(document) => document,
        Err(problem) => return Err(Problems::new(name, text, vec![problem])),
    };
    let raw = read_configuration(&mut document);
    check_duplicates(&mut document, &raw);
    check_references(&mut document, &raw);
    check_consistency(&mut document, &raw);
    let problems = Problems::new(name, text, std::mem::take(&mut document.problems));
    if problems.has_errors() {
        return Err(problems);
    }
    Ok(CheckedConfig {
        config: raw.into_configuration(),
        warnings: problems,
    })
}

/// An item and the name or prefix that must be unique in its section.
struct Named<T> {
    name: Located<String>,
    body: T,
}

/// An engine whose reference to a model is not yet checked.
struct RawEngine {
    model: Located<String>,
    engine: Engine,
}

struct RawProgram {
    class: Located<String>,
    model: Located<String>,
    tools: Vec<Located<String>>,
    kind: ProgramKind,
}

struct RawTenant {
    key_hashes: Vec<Located<String>>,
    programs: Vec<Located<String>>,
    tenant: Tenant,
}

struct RawRoute {
    pool: Located<String>,
    legacy: Located<String>,
    legacy_percent: Located<u64>,
    route: Route,
}

/// A file as read: invalid values are replaced, references are not yet checked.
struct RawConfiguration {
    name: String,
    limits: CallerLimits,
    policy: Policy,
    classes: Vec<Named<u8>>,
    tenants: Vec<Named<RawTenant>>,
    models: Vec<Named<Model>>,
    engines: Vec<Named<RawEngine>>,
    programs: Vec<Named<RawProgram>>,
    tools: Vec<Named<Tool>>,
    pools: Vec<Named<Pool>>,
    routes: Vec<Named<RawRoute>>,
}

fn read_configuration(document: &mut Document<'_>) -> RawConfiguration {
    let name = document.read_root(|reader| {
        reader.number("schema");
        reader.text("name").value
    });
    RawConfiguration {
        name,
        limits: read_limits(document),
        policy: read_policy(document),
        classes: document.read_each("class", |reader| Named {
            name: reader.text("name"),
            body: reader.number("priority").value as u8,
        }),
        tenants: document.read_each("tenant", read_tenant),
        models: document.read_each("model", read_model),
        engines: document.read_each("engine", read_engine),
        programs: document.read_each("program", read_program),
        tools: document.read_each("tool", read_tool),
        pools: document.read_each("pool", read_pool),
        routes: document.read_each("route", read_route),
    }
}

fn read_limits(document: &mut Document<'_>) -> CallerLimits {
    let read = |reader: &mut Reader<'_>| CallerLimits {
        body_bytes: reader.number("body_bytes").value,
        header_bytes: reader.number("header_bytes").value,
        message_bytes: reader.number("message_bytes").value,
        request_seconds: reader.number("request_seconds").value,
        stall_seconds: reader.number("stall_seconds").value,
    };
    read_single(document, "limits", read)
}

/// Reads a section that may appear only once, or its defaults if it is absent.
fn read_single<T>(
    document: &mut Document<'_>,
    section: &'static str,
    read: impl Fn(&mut Reader<'_>) -> T,
) -> T {
    if let Some(value) = document.read_each(section, &read).pop() {
        return value;
    }
    let empty_section = format!("[{section}]");
    let mut defaults = match Document::parse(&empty_section, CONFIGURATION) {
        Ok(defaults) => defaults,
        Err(_) => unreachable!("an empty section is valid"),
    };
    match defaults.read_each(section, &read).pop() {
        Some(value) => value,
        None => unreachable!("the section was just written"),
    }
}

fn read_policy(document: &mut Document<'_>) -> Policy {
    read_single(document, "policy", |reader| Policy {
        queue: match reader.text("queue").value.as_str() {
            "first_come" => QueueOrder::FirstCome,
            "class_priority" => QueueOrder::ClassPriority,
            _ => QueueOrder::LeastAttained,
        },
        placement: match reader.text("placement").value.as_str() {
            "least_loaded" => PlacementPolicy::LeastLoaded,
            "strict_affinity" => PlacementPolicy::StrictAffinity,
            "bounded_spill" => PlacementPolicy::BoundedSpill,
            _ => PlacementPolicy::CostBased,
        },
        ageing_seconds: reader.number("ageing_seconds").value,
        queue_limit: reader.number("queue_limit").value,
    })
}

fn read_tenant(reader: &mut Reader<'_>) -> Named<RawTenant> {
    let name = reader.text("name");
    let hashes = reader.text_list("key_hashes");
    for hash in &hashes {
        check_key_hash(reader, hash);
    }
    let programs = reader.text_list("programs");
    let tenant = Tenant {
        name: name.value.clone(),
        key_hashes: values_of(&hashes),
        programs: values_of(&programs),
        streams: reader.number("streams").value,
        weight: reader.number("weight").value,
    };
    Named {
        name,
        body: RawTenant {
            key_hashes: hashes,
            programs,
            tenant,
        },
    }
}

/// Rejects anything but a key hash, so that no key in clear text gets into the key-value
/// service.
fn check_key_hash(reader: &mut Reader<'_>, hash: &Located<String>) {
    let digits = hash.value.strip_prefix(KEY_HASH_PREFIX);
    let is_hash = digits.is_some_and(|digits| {
        digits.len() == KEY_HASH_HEX_DIGITS && digits.bytes().all(|byte| byte.is_ascii_hexdigit())
    });
    if !is_hash {
        reader.error(
            hash.span.clone(),
            "this is not a key hash, and may be a key in clear text".to_owned(),
            "replace it with the hash that `stageyoke keys hash` prints; if it was a key, rotate it",
        );
    }
}

fn read_model(reader: &mut Reader<'_>) -> Named<Model> {
    let name = reader.text("name");
    let body = Model {
        name: name.value.clone(),
        context_tokens: reader.number("context_tokens").value,
    };
    Named { name, body }
}

fn read_engine(reader: &mut Reader<'_>) -> Named<RawEngine> {
    let name = reader.text("name");
    let model = reader.text("model");
    let engine = Engine {
        name: name.value.clone(),
        model: model.value.clone(),
        address: read_address(reader, "address"),
        zone: reader.text("zone").value,
        slots: reader.number("slots").value,
        cache_tokens: reader.number("cache_tokens").value,
        leaving: reader.flag("leaving"),
    };
    Named {
        name,
        body: RawEngine { model, engine },
    }
}

fn read_program(reader: &mut Reader<'_>) -> Named<RawProgram> {
    let name = reader.text("name");
    let class = reader.text("class");
    let model = reader.text("model");
    let tools = reader.text_list("tools");
    let limits = Limits {
        calls: reader.number("calls").value.min(u64::from(u32::MAX)) as u32,
        tokens_in: reader.number("tokens_in").value,
        tokens_out: reader.number("tokens_out").value,
        wall_ms: reader.number("wall_seconds").value * MS_PER_SECOND,
        depth: reader.number("depth").value as u32,
        fan_out: reader.number("fan_out").value as u32,
        idle_ms: reader.number("idle_seconds").value * MS_PER_SECOND,
        key_retention_ms: reader.number("idempotency_seconds").value * MS_PER_SECOND,
    };
    let kind = ProgramKind {
        name: name.value.clone(),
        class: class.value.clone(),
        priority: 0,
        model: model.value.clone(),
        repeatable: reader.flag("repeatable"),
        tools: values_of(&tools),
        limits,
        deadline_seconds: reader.number("deadline_seconds").value,
        max_tokens: reader.number("max_tokens").value as u32,
    };
    Named {
        name,
        body: RawProgram {
            class,
            model,
            tools,
            kind,
        },
    }
}

fn read_tool(reader: &mut Reader<'_>) -> Named<Tool> {
    let name = reader.text("name");
    let body = Tool {
        name: name.value.clone(),
        address: read_address(reader, "address"),
        deadline_seconds: reader.number("deadline_seconds").value,
    };
    Named { name, body }
}

fn read_pool(reader: &mut Reader<'_>) -> Named<Pool> {
    let name = reader.text("name");
    let addresses = reader.text_list("addresses");
    if addresses.is_empty() {
        let remedy = "give the address of at least one replica";
        reader.error(
            name.span.clone(),
            "the pool has no replicas".to_owned(),
            remedy,
        );
    }
    let parsed = addresses
        .iter()
        .map(|address| parse_address(reader, address))
        .collect();
    let body = Pool {
        name: name.value.clone(),
        addresses: parsed,
    };
    Named { name, body }
}

fn read_route(reader: &mut Reader<'_>) -> Named<RawRoute> {
    let prefix = reader.text("prefix");
    if !prefix.value.starts_with('/') && !prefix.value.is_empty() {
        let what = "`prefix` does not start with a slash".to_owned();
        reader.error(prefix.span.clone(), what, "write it as \"/path\"");
    }
    let pool = reader.text("pool");
    let legacy = reader.text("legacy_pool");
    let legacy_percent = reader.number("legacy_percent");
    let signed_off = reader.flag("signed_off");
    let route = Route {
        prefix: prefix.value.clone(),
        pool: pool.value.clone(),
        legacy_pool: Some(legacy.value.clone()).filter(|pool| !pool.is_empty()),
        legacy_percent: if signed_off { 0 } else { legacy_percent.value },
        signed_off,
        deadline_seconds: reader.number("deadline_seconds").value,
    };
    Named {
        name: prefix,
        body: RawRoute {
            pool,
            legacy,
            legacy_percent,
            route,
        },
    }
}

fn read_address(reader: &mut Reader<'_>, key: &'static str) -> SocketAddr {
    let text = reader.text(key);
    parse_address(reader, &text)
}

fn parse_address(reader: &mut Reader<'_>, text: &Located<String>) -> SocketAddr {
    let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
    if text.value.is_empty() {
        return unspecified;
    }
    text.value.parse().unwrap_or_else(|_| {
        let what = format!("`{}` is not an IP address and port", text.value);
        reader.error(text.span.clone(), what, "write it as \"10.0.0.1:8080\"");
        unspecified
    })
}

fn values_of(items: &[Located<String>]) -> Vec<String> {
    items.iter().map(|item| item.value.clone()).collect()
}

fn check_duplicates(document: &mut Document<'_>, raw: &RawConfiguration) {
    check_unique(document, "class", &raw.classes);
    check_unique(document, "tenant", &raw.tenants);
    check_unique(document, "model", &raw.models);
    check_unique(document, "engine", &raw.engines);
    check_unique(document, "program", &raw.programs);
    check_unique(document, "tool", &raw.tools);
    check_unique(document, "pool", &raw.pools);
    check_unique(document, "route", &raw.routes);
    check_tenant_keys(document, raw);
}

fn check_unique<T>(document: &mut Document<'_>, kind: &str, items: &[Named<T>]) {
    let mut seen = BTreeMap::new();
    for item in items {
        let name = item.name.value.as_str();
        if !name.is_empty() && seen.insert(name, ()).is_some() {
            let message = format!("duplicate {kind} `{name}`");
            document.error(item.name.span.clone(), message, "rename or remove one");
        }
    }
}

/// Checks that each key belongs to one tenant only and that each tenant has a key.
fn check_tenant_keys(document: &mut Document<'_>, raw: &RawConfiguration) {
    let mut owners: BTreeMap<&str, &str> = BTreeMap::new();
    for tenant in &raw.tenants {
        let name = tenant.name.value.as_str();
        for hash in &tenant.body.key_hashes {
            let Some(owner) = owners.insert(hash.value.as_str(), name) else {
                continue;
            };
            let message = format!("this key already belongs to tenant `{owner}`");
            document.error(
                hash.span.clone(),
                message,
                "give each tenant keys of its own",
            );
        }
        if tenant.body.key_hashes.is_empty() && !name.is_empty() {
            let message = format!("tenant `{name}` has no key and can't call");
            document.error(tenant.name.span.clone(), message, "add a key, or remove it");
        }
    }
}

fn check_references(document: &mut Document<'_>, raw: &RawConfiguration) {
    let mut references: Vec<(&str, &Located<String>, bool)> = Vec::new();
    let is_declared = |names: Vec<&str>, name: &str| names.contains(&name);
    let declared_names = |kind: &str| -> Vec<&str> {
        match kind {
            "class" => names_of(&raw.classes),
            "model" => names_of(&raw.models),
            "program" => names_of(&raw.programs),
            "tool" => names_of(&raw.tools),
            _ => names_of(&raw.pools),
        }
    };
    for program in &raw.programs {
        references.push(("class", &program.body.class, false));
        references.push(("model", &program.body.model, false));
        references.extend(program.body.tools.iter().map(|tool| ("tool", tool, false)));
    }
    for engine in &raw.engines {
        references.push(("model", &engine.body.model, false));
    }
    for tenant in &raw.tenants {
        let programs = tenant.body.programs.iter();
        references.extend(programs.map(|program| ("program", program, false)));
    }
    for route in &raw.routes {
        references.push(("pool", &route.body.pool, false));
        references.push(("pool", &route.body.legacy, true));
    }
    let mut dangling: Vec<Problem> = Vec::new();
    for (kind, reference, may_be_empty) in references {
        let name = reference.value.as_str();
        let skip = name.is_empty() && (may_be_empty || reference.value.is_empty());
        if !skip && !is_declared(declared_names(kind), name) {
            dangling.push(Problem {
                severity: crate::problem::Severity::Error,
                span: reference.span.clone(),
                what: format!("there is no {kind} `{name}`"),
                remedy: format!("declare it as [[{kind}]], or name one of those declared"),
            });
        }
    }
    document.problems.extend(dangling);
}

fn names_of<T>(items: &[Named<T>]) -> Vec<&str> {
    items.iter().map(|item| item.name.value.as_str()).collect()
}

/// Checks that models have engines, classes are used, and limits and routes make sense.
fn check_consistency(document: &mut Document<'_>, raw: &RawConfiguration) {
    for program in &raw.programs {
        let kind = &program.body.kind;
        let is_served = raw
            .engines
            .iter()
            .any(|engine| engine.body.engine.model == kind.model && !engine.body.engine.leaving);
        let is_model_declared = names_of(&raw.models).contains(&kind.model.as_str());
        if is_model_declared && !is_served {
            let what = format!(
                "no engine serves model `{}`, or all of them are leaving",
                kind.model
            );
            document.error(
                program.body.model.span.clone(),
                what,
                "add an [[engine]] for it",
            );
        }
        check_program_budget(document, raw, program);
    }
    for class in &raw.classes {
        let name = &class.name.value;
        if !raw
            .programs
            .iter()
            .any(|program| program.body.class.value == *name)
        {
            let what = format!("no program uses class `{name}`");
            document.warning(class.name.span.clone(), what, "remove it, or use it");
        }
    }
    for route in &raw.routes {
        let body = &route.body;
        if body.legacy_percent.value > 0 && body.legacy.value.is_empty() {
            let what = "`legacy_percent` is set, but `legacy_pool` is not".to_owned();
            let remedy = "set `legacy_pool`, or remove `legacy_percent`";
            document.error(body.legacy_percent.span.clone(), what, remedy);
        }
        if body.route.signed_off && body.legacy_percent.value > 0 {
            let what = "the cut-over is signed off, so the legacy share has no effect".to_owned();
            document.warning(body.legacy_percent.span.clone(), what, "set it to 0");
        }
    }
}

fn check_program_budget(
    document: &mut Document<'_>,
    raw: &RawConfiguration,
    program: &Named<RawProgram>,
) {
    let kind = &program.body.kind;
    let span = program.name.span.clone();
    let model = raw
        .models
        .iter()
        .find(|model| model.body.name == kind.model);
    if let Some(model) = model
        && u64::from(kind.max_tokens) > model.body.context_tokens
    {
        let what = format!(
            "`max_tokens` of `{}` exceeds its model's context",
            kind.name
        );
        document.error(span.clone(), what, "lower it, or use a larger model");
    }
    let tokens_out = kind.limits.tokens_out;
    if tokens_out != 0 && tokens_out < u64::from(kind.max_tokens) {
        let what = format!("`tokens_out` of `{}` is too low for one call", kind.name);
        document.error(
            span.clone(),
            what,
            "raise `tokens_out`, or lower `max_tokens`",
        );
    }
    if (kind.limits.depth == 0) != (kind.limits.fan_out == 0) {
        let what = format!(
            "`{}` sets only one of the two limits on sub-agents",
            kind.name
        );
        document.warning(span, what, "set both `depth` and `fan_out`, or neither");
    }
}

impl RawConfiguration {
    fn into_configuration(self) -> Configuration {
        let classes: BTreeMap<String, u8> = self
            .classes
            .into_iter()
            .map(|class| (class.name.value, class.body))
            .collect();
        let mut programs: Vec<ProgramKind> = map_bodies(self.programs, |program| program.kind);
        for program in &mut programs {
            program.priority = classes.get(&program.class).copied().unwrap_or_default();
        }
        let mut routes: Vec<Route> = map_bodies(self.routes, |route| route.route);
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        Configuration {
            name: self.name,
            limits: self.limits,
            policy: self.policy,
            classes,
            tenants: map_bodies(self.tenants, |tenant| tenant.tenant),
            models: map_bodies(self.models, |model| model),
            engines: map_bodies(self.engines, |engine| engine.engine),
            programs,
            tools: map_bodies(self.tools, |tool| tool),
            pools: map_bodies(self.pools, |pool| pool),
            routes,
        }
    }
}

fn map_bodies<T, U>(items: Vec<Named<T>>, convert: impl Fn(T) -> U) -> Vec<U> {
    items.into_iter().map(|item| convert(item.body)).collect()
}
