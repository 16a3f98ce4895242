//! `turmericctl agents`: agents, their workers and endpoints.

use clap::Command;

use super::CommandContext;
use crate::error::CommandError;

pub(crate) fn build() -> Command {
    Command::new("agents").about("List agents with their workers and endpoints")
}

pub(crate) async fn run(context: &CommandContext) -> Result<(), CommandError> {
    let agents = context.client.get("/v1/agents").await?;
    let rows = agents.as_array().cloned().unwrap_or_default();
    context.form.print_rows(
        &[
            "agent",
            "path",
            "address",
            "capacity",
            "free",
            "outstanding",
            "settings_version",
            "in_service",
            "draining",
            "heard",
        ],
        &rows,
    );
    Ok(())
}
