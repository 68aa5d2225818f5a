//! Turns single commands into changes, by the same rules as declaration files.

use crate::args::{
    EndpointFlags, EndpointVerb, KindFlags, KindVerb, PoolFlags, PoolVerb, WorkspaceFlags,
    WorkspaceVerb,
};
use crate::error::CtlError;
use dockgate_core::{ConfigChange, Declaration, FleetConfig, PoolKind, parse_declaration};
use std::fmt::Write;

/// The name that stands for the command line in problems.
const SOURCE: &str = "command";

/// One section of a declaration, written from flags.
struct SectionText(String);

impl SectionText {
    fn new(kind: &str, name: &str) -> Self {
        Self(format!("[{kind} {name}]\n"))
    }

    fn set(mut self, key: &str, value: Option<&str>) -> Self {
        if let Some(value) = value {
            // Writing to a string does not fail.
            let _ = writeln!(self.0, "{key} = {value}");
        }
        self
    }

    fn parse(self) -> Result<Declaration, CtlError> {
        parse_declaration(SOURCE, &self.0).map_err(|error| CtlError::Intent(error.to_string()))
    }
}

/// Checks that a thing exists for `set`, and does not for `add`.
fn check_exists(subject: &str, name: &str, exists: bool, wanted: bool) -> Result<(), CtlError> {
    match (exists, wanted) {
        (true, false) => Err(CtlError::Intent(format!(
            "{subject} {name} exists already; change it with `{subject} set`"
        ))),
        (false, true) => Err(CtlError::Intent(format!(
            "there is no {subject} {name}; add it with `{subject} add`"
        ))),
        _ => Ok(()),
    }
}

fn take_first<T>(specs: Vec<T>) -> Result<T, CtlError> {
    let first = specs.into_iter().next();
    first.ok_or_else(|| CtlError::Intent("nothing was declared".to_owned()))
}

fn join(values: &[String], old: impl FnOnce() -> Vec<String>) -> Option<String> {
    let values = match values.is_empty() {
        true => old(),
        false => values.to_vec(),
    };
    (!values.is_empty()).then(|| values.join(", "))
}

fn yes_or_no(flag: bool) -> String {
    match flag {
        true => "yes".to_owned(),
        false => "no".to_owned(),
    }
}

/// Turns a workspace command into a change.
///
/// # Errors
///
/// Returns what is wrong with the flags.
pub(crate) fn workspace_change(
    config: &FleetConfig,
    verb: &WorkspaceVerb,
) -> Result<ConfigChange, CtlError> {
    let (flags, exists) = match verb {
        WorkspaceVerb::Add(flags) => (flags, false),
        WorkspaceVerb::Set(flags) => (flags, true),
        WorkspaceVerb::Retire(flag) => {
            return Ok(ConfigChange::RetireWorkspace(flag.name.clone()));
        }
    };
    let WorkspaceFlags { name, .. } = flags;
    let old = config.workspaces.get_by_name(name);
    check_exists("workspace", name, old.is_some(), exists)?;
    let or_old = |flag: &Option<String>, old: Option<String>| flag.clone().or(old);
    let keys = join(&flags.key, || {
        let hashes = old.map(|old| old.key_hashes.iter().map(ToString::to_string).collect());
        hashes.unwrap_or_default()
    });
    let share = or_old(&flags.share, old.map(|old| old.share.to_string()));
    let priority = or_old(&flags.priority, old.map(|old| old.priority.to_string()));
    let limit = or_old(
        &flags.queue_limit,
        old.map(|old| old.queue_limit.to_string()),
    );
    let declaration = SectionText::new("workspace", name)
        .set("share", share.as_deref())
        .set("priority", priority.as_deref())
        .set("key", keys.as_deref())
        .set("queue_limit", limit.as_deref())
        .parse()?;
    take_first(declaration.workspaces).map(ConfigChange::PutWorkspace)
}

/// Turns a pool command into a change.
///
/// # Errors
///
/// Returns what is wrong with the flags.
pub(crate) fn pool_change(config: &FleetConfig, verb: &PoolVerb) -> Result<ConfigChange, CtlError> {
    let (flags, exists) = match verb {
        PoolVerb::Add(flags) => (flags, false),
        PoolVerb::Set(flags) => (flags, true),
        PoolVerb::Retire(flag) => return Ok(ConfigChange::RetirePool(flag.name.clone())),
    };
    let PoolFlags { name, .. } = flags;
    let old = config.pools.get_by_name(name);
    check_exists("pool", name, old.is_some(), exists)?;
    let weight = |flag: &Option<String>, old: Option<f64>| {
        flag.clone().or(old.map(|weight| weight.to_string()))
    };
    let kind = flags.kind.clone().or(old.map(|old| {
        let kind = match old.kind {
            PoolKind::Engine => "engine",
            PoolKind::Service => "service",
        };
        kind.to_owned()
    }));
    let models = join(&flags.model, || {
        old.map(|old| old.models.clone()).unwrap_or_default()
    });
    let resumes = flags.resumes.clone();
    let resumes = resumes.or(old.map(|old| yes_or_no(old.resumes)));
    let input = weight(&flags.input_weight, old.map(|old| old.cost.input_weight));
    let output = weight(&flags.output_weight, old.map(|old| old.cost.output_weight));
    let slot = weight(
        &flags.slot_ms_weight,
        old.map(|old| old.cost.slot_ms_weight),
    );
    let declaration = SectionText::new("pool", name)
        .set("kind", kind.as_deref())
        .set("models", models.as_deref())
        .set("resumes", resumes.as_deref())
        .set("input_weight", input.as_deref())
        .set("output_weight", output.as_deref())
        .set("slot_ms_weight", slot.as_deref())
        .parse()?;
    take_first(declaration.pools).map(ConfigChange::PutPool)
}

/// Turns an endpoint command into a change.
///
/// # Errors
///
/// Returns what is wrong with the flags.
pub(crate) fn endpoint_change(
    config: &FleetConfig,
    verb: &EndpointVerb,
) -> Result<ConfigChange, CtlError> {
    let (flags, exists) = match verb {
        EndpointVerb::Add(flags) => (flags, false),
        EndpointVerb::Set(flags) => (flags, true),
        EndpointVerb::Retire(flag) => return Ok(ConfigChange::RetireEndpoint(flag.name.clone())),
    };
    let EndpointFlags { name, .. } = flags;
    let old = config.endpoints.get_by_name(name);
    check_exists("endpoint", name, old.is_some(), exists)?;
    let pool = flags.pool.clone().or(old.map(|old| old.pool.clone()));
    let pool_name = pool.clone().unwrap_or_default();
    let domain = flags.domain.clone().or(old.map(|old| old.domain.clone()));
    let address = flags
        .address
        .clone()
        .or(old.map(|old| old.address.to_string()));
    let slots = flags.slots.clone().or(old.map(|old| old.slots.to_string()));
    let honest = flags.honest_refusal.clone();
    let honest = honest.or(old.map(|old| yes_or_no(old.honest_refusal)));
    let mut section = SectionText::new("endpoint", name)
        .set("pool", pool.as_deref())
        .set("domain", domain.as_deref())
        .set("address", address.as_deref())
        .set("slots", slots.as_deref())
        .set("honest_refusal", honest.as_deref());
    for (from, address) in endpoint_addresses(flags, old)? {
        section = section.set(&format!("address.{from}"), Some(&address));
    }
    // The pool is looked up by the daemon; here it only has to be declared.
    let declared = config.pools.get_by_name(&pool_name).map(|pool| pool.kind);
    let kind = match declared {
        Some(PoolKind::Service) => "service",
        _ => "engine",
    };
    if !pool_name.is_empty() {
        section.0 += &format!("[pool {pool_name}]\nkind = {kind}\n");
    }
    take_first(section.parse()?.endpoints).map(ConfigChange::PutEndpoint)
}

/// Returns the other addresses of an endpoint: those in the flags, else those it has.
fn endpoint_addresses(
    flags: &EndpointFlags,
    old: Option<&dockgate_core::EndpointSpec>,
) -> Result<Vec<(String, String)>, CtlError> {
    if flags.address_from.is_empty() {
        let known = old
            .map(|old| old.domain_addresses.iter())
            .into_iter()
            .flatten();
        return Ok(known
            .map(|(domain, address)| (domain.clone(), address.to_string()))
            .collect());
    }
    flags
        .address_from
        .iter()
        .map(|pair| {
            let (domain, address) = pair.split_once('=').ok_or_else(|| {
                CtlError::Intent(format!("--address-from {pair}: must be DOMAIN=ADDRESS"))
            })?;
            Ok((domain.to_owned(), address.to_owned()))
        })
        .collect()
}

/// Turns a kind command into a change.
///
/// # Errors
///
/// Returns what is wrong with the flags.
pub(crate) fn kind_change(config: &FleetConfig, verb: &KindVerb) -> Result<ConfigChange, CtlError> {
    let (flags, exists) = match verb {
        KindVerb::Add(flags) => (flags, false),
        KindVerb::Set(flags) => (flags, true),
        KindVerb::Retire(flag) => return Ok(ConfigChange::RetireKind(flag.name.clone())),
    };
    let KindFlags { name, repeatable } = flags;
    let old = config.kinds.get_by_name(name);
    check_exists("kind", name, old.is_some(), exists)?;
    let repeatable = repeatable
        .clone()
        .or(old.map(|old| yes_or_no(old.repeatable)));
    let declaration = SectionText::new("kind", name)
        .set("repeatable", repeatable.as_deref())
        .parse()?;
    take_first(declaration.kinds).map(ConfigChange::PutKind)
}

#[cfg(test)]
mod tests;
