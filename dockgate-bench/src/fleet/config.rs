//! Configures a fleet as operators do: a declaration, a plan, a confirmation.

use super::BenchFleet;
use super::daemon::{OPERATOR_TOKEN, operator_client};
use crate::error::BenchError;
use dockgate_core::{ConfigChange, FleetConfig, KeyHash};
use dockgate_proto::operator::{
    self, ConfirmReply, ConfirmRequest, PlanIntent, PlanReply, PlanRequest,
};
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::rpc_params;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::net::SocketAddr;

/// Returns the API key of a workspace.
pub fn workspace_key(workspace: &str) -> String {
    format!("key-of-{workspace}")
}

/// Plans and confirms an intent at an operator door.
pub(crate) async fn change_at(
    operators: SocketAddr,
    intent: PlanIntent,
) -> Result<ConfirmReply, BenchError> {
    let client = operator_client(operators, OPERATOR_TOKEN)?;
    let failed = |error: jsonrpsee::core::ClientError| {
        BenchError::Daemon("configure", operators.to_string(), error.to_string())
    };
    let request = PlanRequest { intent };
    let reply: PlanReply = client
        .request(operator::PLAN, rpc_params![request])
        .await
        .map_err(failed)?;
    let request = ConfirmRequest {
        plan: reply.plan.id.0,
        author: "bench".to_owned(),
    };
    client
        .request(operator::CONFIRM, rpc_params![request])
        .await
        .map_err(failed)
}

impl BenchFleet {
    /// Writes the declaration of the whole fleet.
    pub fn declaration(&self) -> String {
        let mut text = String::new();
        for pool in &self.scenario.pools {
            let kind = if pool.engine { "engine" } else { "service" };
            // Writing to a string does not fail.
            let _ = writeln!(text, "[pool {}]\nkind = {kind}", pool.name);
            if pool.engine {
                let _ = writeln!(text, "models = {}\nresumes = yes", pool.name);
            }
        }
        for endpoint in &self.endpoints {
            let _ = writeln!(
                text,
                "[endpoint {}]\npool = {}\ndomain = {}\naddress = {}\nslots = {}\n\
                 honest_refusal = yes",
                endpoint.name,
                endpoint.pool,
                endpoint.domain,
                endpoint.standin.address(),
                endpoint.slots
            );
            for (from, relay) in &endpoint.relays {
                let _ = writeln!(text, "address.{from} = {}", relay.address);
            }
        }
        let loads: BTreeMap<&str, _> = self
            .scenario
            .workspaces
            .iter()
            .map(|load| (load.workspace.as_str(), (load.share, load.queue_limit)))
            .collect();
        for (workspace, (share, limit)) in loads {
            let hash = KeyHash::of(&workspace_key(workspace));
            let _ = writeln!(
                text,
                "[workspace {workspace}]\nshare = {share}\nqueue_limit = {limit}\nkey = {hash}"
            );
        }
        for kind in &self.scenario.once_kinds {
            let _ = writeln!(text, "[kind {kind}]\nrepeatable = no");
        }
        text
    }

    /// Applies the declaration.
    pub(super) async fn configure(&self) -> Result<(), BenchError> {
        let text = self.declaration();
        let intent = PlanIntent::Declaration("bench".to_owned(), text);
        self.change(0, intent).await.map(drop)
    }

    /// Plans and confirms an intent at one daemon.
    ///
    /// # Errors
    ///
    /// Returns what the daemon refused.
    pub async fn change(
        &self,
        daemon: usize,
        intent: PlanIntent,
    ) -> Result<ConfirmReply, BenchError> {
        change_at(self.daemons[daemon].operators(), intent).await
    }

    /// Retires an endpoint, and returns the change that adds it again.
    ///
    /// # Errors
    ///
    /// Returns what the daemon refused.
    pub async fn retire(&self, name: &str) -> Result<Option<ConfigChange>, BenchError> {
        let config = self.shown(0).await?;
        let spec = config.endpoints.get_by_name(name).cloned();
        let change = ConfigChange::RetireEndpoint(name.to_owned());
        self.change(0, PlanIntent::Changes(vec![change])).await?;
        Ok(spec.map(ConfigChange::PutEndpoint))
    }

    /// Returns the configuration in force at a daemon.
    ///
    /// # Errors
    ///
    /// Returns an error where it does not answer.
    pub async fn shown(&self, daemon: usize) -> Result<FleetConfig, BenchError> {
        let daemon = &self.daemons[daemon];
        let client = operator_client(daemon.operators(), OPERATOR_TOKEN)?;
        let shown = client.request(operator::SHOW, ArrayParams::new()).await;
        shown.map_err(|error| {
            BenchError::Daemon("show", daemon.name().to_owned(), error.to_string())
        })
    }
}
