//! The operators' command-line tool.
//!
//! Exit codes: 0 done; 1 refused as invalid; 2 wrong usage or an unreadable file; 3 the plan is
//! stale or unknown; 4 the daemon or the platform's service cannot be reached.

mod args;
mod change;
mod client;
mod error;
mod explain;
mod log_line;
mod losses;
mod render;

use args::{CtlArgs, CtlCommand};
use clap::{CommandFactory, Parser};
use client::OperatorClient;
use dockgate_core::{ConfigPlan, KeyHash};
use dockgate_proto::operator::PlanIntent;
use error::CtlError;
use render::Renderer;
use std::path::Path;
use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args = CtlArgs::parse();
    match run(&args).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dockgatectl: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

async fn run(args: &CtlArgs) -> Result<(), CtlError> {
    let renderer = Renderer::new(args.json);
    match &args.command {
        CtlCommand::HashKey { key } => {
            println!("{}", KeyHash::of(key));
            return Ok(());
        }
        CtlCommand::Completions { shell } => {
            let mut command = CtlArgs::command();
            clap_complete::generate(*shell, &mut command, "dockgatectl", &mut std::io::stdout());
            return Ok(());
        }
        CtlCommand::Explain { id, logs } => return explain::print_timeline(id, logs),
        CtlCommand::Losses { logs } => return losses::print_losses(logs),
        CtlCommand::Quarantine { release } => {
            let client = OperatorClient::without_token(args.operator, args.timeout_s)?;
            renderer.quarantine(&client.quarantine(release.clone()).await?);
            return Ok(());
        }
        _ => {}
    }
    let client = OperatorClient::new(args.operator, &args.token_file, args.timeout_s)?;
    match &args.command {
        CtlCommand::Plan { file } => {
            let plan = client.plan(read_declaration(file)?).await?;
            renderer.plan(&plan);
        }
        CtlCommand::Apply { file, yes } => {
            change_fleet(args, &client, &renderer, read_declaration(file)?, *yes).await?;
        }
        CtlCommand::Confirm { plan } => {
            let reply = client.confirm(plan, &args.author()).await?;
            renderer.confirmed(&reply);
        }
        CtlCommand::Show { subject } => renderer.show(&client.show().await?, *subject),
        CtlCommand::Status => renderer.status(&client.status().await?),
        CtlCommand::History { limit } => renderer.history(&client.history(*limit).await?),
        CtlCommand::Workspace { verb, yes } => {
            let change = change::workspace_change(&client.show().await?, verb)?;
            change_fleet(args, &client, &renderer, single_change(change), *yes).await?;
        }
        CtlCommand::Pool { verb, yes } => {
            let change = change::pool_change(&client.show().await?, verb)?;
            change_fleet(args, &client, &renderer, single_change(change), *yes).await?;
        }
        CtlCommand::Endpoint { verb, yes } => {
            let change = change::endpoint_change(&client.show().await?, verb)?;
            change_fleet(args, &client, &renderer, single_change(change), *yes).await?;
        }
        CtlCommand::Kind { verb, yes } => {
            let change = change::kind_change(&client.show().await?, verb)?;
            change_fleet(args, &client, &renderer, single_change(change), *yes).await?;
        }
        CtlCommand::HashKey { .. }
        | CtlCommand::Completions { .. }
        | CtlCommand::Explain { .. }
        | CtlCommand::Quarantine { .. }
        | CtlCommand::Losses { .. } => {}
    }
    Ok(())
}

fn single_change(change: dockgate_core::ConfigChange) -> PlanIntent {
    PlanIntent::Changes(vec![change])
}

fn read_declaration(file: &Path) -> Result<PlanIntent, CtlError> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|cause| CtlError::File("read", name.clone(), cause))?;
    Ok(PlanIntent::Declaration(name, text))
}

/// Plans an intent and commits the plan if `yes` is set; otherwise only shows it.
async fn change_fleet(
    args: &CtlArgs,
    client: &OperatorClient,
    renderer: &Renderer,
    intent: PlanIntent,
    yes: bool,
) -> Result<(), CtlError> {
    let plan: ConfigPlan = client.plan(intent).await?;
    if !yes || plan.changes.is_empty() {
        renderer.plan(&plan);
        return Ok(());
    }
    let reply = client.confirm(&plan.id.0, &args.author()).await?;
    renderer.plan_confirmed(&plan, &reply);
    Ok(())
}
