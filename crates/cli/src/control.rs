//! Commands of operators, and the hidden commands for the stand-ins.

use std::path::Path;

use quota::Digester;
use serde_json::json;
use tonic::transport::Channel;
use wire::pb::{
    self, change_request::Change, control_client::ControlClient, standin_client::StandinClient,
};

use crate::{
    compile::compile_schema,
    connect::{Access, authorized, connect},
    error::{Error, Result},
    options::{KeyCommand, SchemaCommand, TeamCommand},
    printer::Printer,
};

/// Maximum size of an encoded reply, in bytes.
const MAX_REPLY_BYTES: usize = 64 << 20;

async fn client(access: &Access) -> Result<ControlClient<Channel>> {
    let client = ControlClient::new(connect(access).await?);
    Ok(client.max_decoding_message_size(MAX_REPLY_BYTES))
}

pub(crate) async fn key(access: &Access, printer: &Printer, command: KeyCommand) -> Result<()> {
    match command {
        KeyCommand::First { secret } => {
            let secret = parse_hex(&secret)?;
            let key = Digester::new_key();
            let digest = Digester::new(&secret).digest(&key).to_string();
            let text = format!("key     {key}\ndigest  {digest}");
            printer.print(&text, &json!({ "key": key, "digest": digest }));
            Ok(())
        }
        KeyCommand::Grant { team, label } => {
            let team = team.unwrap_or_default();
            change(access, printer, 0, Change::GrantKey(pb::GrantKey { team, label })).await
        }
        KeyCommand::Withdraw { label } => {
            change(access, printer, 0, Change::WithdrawKey(pb::WithdrawKey { label })).await
        }
    }
}

fn parse_hex(text: &str) -> Result<Vec<u8>> {
    let usage_error = || Error::usage("--secret must consist of pairs of hexadecimal digits");
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return Err(usage_error());
    }
    let bytes =
        (0..text.len()).step_by(2).map(|start| u8::from_str_radix(&text[start..start + 2], 16));
    bytes.collect::<Result<_, _>>().map_err(|_| usage_error())
}

pub(crate) async fn team(access: &Access, printer: &Printer, command: TeamCommand) -> Result<()> {
    match command {
        TeamCommand::Put {
            share,
            cpu_milli,
            memory_mib,
            accelerators,
            calls,
            region,
            expected_version,
            name,
        } => {
            let limit = Some(pb::Resources { cpu_milli, memory_mib, accelerators });
            let put = pb::PutTeam { name, share, limit, calls, home_region: region };
            change(access, printer, expected_version, Change::PutTeam(put)).await
        }
        TeamCommand::Remove { name } => {
            change(access, printer, 0, Change::RemoveTeam(pb::RemoveTeam { name })).await
        }
    }
}

pub(crate) async fn policy(
    access: &Access,
    printer: &Printer,
    kind: &str,
    placement: &str,
) -> Result<()> {
    let placement = match placement {
        "pack" => pb::Placement::Pack,
        "spread" => pb::Placement::Spread,
        _ => return Err(Error::usage("PLACEMENT must be pack or spread")),
    };
    let kind = parse_job_kind(kind)?.into();
    let put = pb::PutPolicy { kind, placement: placement.into() };
    change(access, printer, 0, Change::PutPolicy(put)).await
}

pub(crate) fn parse_job_kind(kind: &str) -> Result<pb::JobKind> {
    match kind {
        "service" => Ok(pb::JobKind::Service),
        "batch" => Ok(pb::JobKind::Batch),
        "gang" => Ok(pb::JobKind::Gang),
        _ => Err(Error::usage("the job kind must be service, batch or gang")),
    }
}

pub(crate) async fn schema(
    access: &Access,
    printer: &Printer,
    command: SchemaCommand,
) -> Result<()> {
    match command {
        SchemaCommand::Check { file } => {
            let methods = schema::parse(&compile_schema(&file)?)?;
            let rows = methods
                .into_iter()
                .map(|method| {
                    vec![
                        method.path.to_string(),
                        method.is_idempotent.to_string(),
                        format!("{:?}", method.urgency).to_lowercase(),
                        method.timeout.as_millis().to_string(),
                        method.max_answer_bytes.to_string(),
                        format!("{:?}", method.access).to_lowercase(),
                    ]
                })
                .collect();
            let header =
                ["method", "idempotent", "urgency", "timeout_ms", "largest_answer_bytes", "access"];
            printer.print_table(&header, rows);
            Ok(())
        }
        SchemaCommand::Apply { file } => {
            let descriptors = compile_schema(&file)?.into();
            let put = pb::PutSchema { name: schema_name(&file)?, descriptors };
            change(access, printer, 0, Change::PutSchema(put)).await
        }
    }
}

fn schema_name(file: &Path) -> Result<String> {
    let stem = file.file_stem().and_then(|stem| stem.to_str());
    stem.map(str::to_owned).ok_or_else(|| Error::usage("FILE must name a file"))
}

async fn change(
    access: &Access,
    printer: &Printer,
    expected_version: u64,
    change: Change,
) -> Result<()> {
    let request = pb::ChangeRequest { expected_version, change: Some(change) };
    let reply = client(access).await?.change(authorized(access, request)?).await?.into_inner();
    let mut text = format!("version {} in force at {}", reply.version, reply.in_force.join(", "));
    if !reply.pending.is_empty() {
        text += &format!("; not confirmed by {}", reply.pending.join(", "));
    }
    if !reply.key.is_empty() {
        text += &format!("\nkey {}", reply.key);
    }
    let value = json!({
        "version": reply.version,
        "in_force": reply.in_force,
        "pending": reply.pending,
        "key": reply.key,
    });
    printer.print(&text, &value);
    Ok(())
}

pub(crate) async fn config(access: &Access, printer: &Printer) -> Result<()> {
    let request = authorized(access, pb::GetConfigurationRequest {})?;
    let config = client(access).await?.get_configuration(request).await?.into_inner();
    let mut rows = vec![vec!["version".to_owned(), config.version.to_string(), String::new()]];
    for team in config.teams {
        let limit = base::Resources::from(team.limit.unwrap_or_default());
        let summary = format!(
            "share {}, limit {limit}, calls {}, home {}",
            team.share, team.calls, team.home_region
        );
        rows.push(vec!["team".to_owned(), team.name, summary]);
    }
    for key in config.keys {
        let owner = if key.team.is_empty() { "operator".to_owned() } else { key.team };
        rows.push(vec!["key".to_owned(), key.label, owner]);
    }
    for policy in config.policies {
        let kind = format!("{:?}", policy.kind()).to_lowercase();
        let placement = format!("{:?}", policy.placement()).to_lowercase();
        rows.push(vec!["policy".to_owned(), kind, placement]);
    }
    for schema in config.schemas {
        rows.push(vec!["schema".to_owned(), schema, String::new()]);
    }
    printer.print_table(&["what", "name", "value"], rows);
    Ok(())
}

pub(crate) async fn status(access: &Access, printer: &Printer) -> Result<()> {
    let request = authorized(access, pb::GetStatusRequest {})?;
    let status = client(access).await?.get_status(request).await?.into_inner();
    let instances = status.instances.into_iter().map(|instance| {
        vec![
            instance.name,
            "instance".to_owned(),
            instance.data_centre,
            if instance.reachable { "reachable" } else { "unreachable" }.to_owned(),
            format!("version {}, places {}", instance.version, instance.places.join("+")),
            format!("{} runners, {} calls", instance.runners, instance.calls),
        ]
    });
    let targets = status.targets.into_iter().map(|target| {
        let format_size = |size: Option<pb::Resources>| {
            size.map_or_else(String::new, |size| base::Resources::from(size).to_string())
        };
        let load = match target.slots {
            0 => format!("{} of {}", format_size(target.promised), format_size(target.capacity)),
            slots => format!("{} of {slots} slots", target.busy),
        };
        vec![
            target.name,
            if target.slots == 0 { "worker" } else { "runner" }.to_owned(),
            target.data_centre,
            target.health,
            format!("owner {} term {}", target.owner, target.term),
            load,
        ]
    });
    let rows = instances.chain(targets).collect();
    printer.print_table(&["name", "kind", "data_centre", "state", "owner", "load"], rows);
    Ok(())
}

pub(crate) async fn drain(access: &Access, printer: &Printer) -> Result<()> {
    client(access).await?.drain(authorized(access, pb::DrainRequest {})?).await?;
    printer.print("draining", &json!({ "draining": true }));
    Ok(())
}

pub(crate) async fn fault(
    access: &Access,
    printer: &Printer,
    at: String,
    fault: String,
    delay_ms: u32,
) -> Result<()> {
    let mut client = StandinClient::new(connect(access).await?);
    client.set_fault(pb::SetFaultRequest { at, fault, delay_ms }).await?;
    printer.print("set", &json!({ "set": true }));
    Ok(())
}

pub(crate) async fn observe(access: &Access, printer: &Printer) -> Result<()> {
    let mut client = StandinClient::new(connect(access).await?);
    let reply = client.observe(pb::ObserveRequest {}).await?.into_inner();
    let counts = [
        ("starts", u64::from(reply.starts)),
        ("ends", u64::from(reply.ends)),
        ("running", u64::from(reply.running)),
        ("calls", u64::from(reply.calls)),
        ("two_places", u64::from(reply.two_places)),
        ("overcommits", u64::from(reply.overcommits)),
        ("second_runs", u64::from(reply.second_runs)),
        ("fenced", u64::from(reply.fenced)),
        ("store_reads", reply.store_reads),
        ("store_writes", reply.store_writes),
    ];
    let rows = counts.map(|(name, count)| vec![name.to_owned(), count.to_string()]);
    printer.print_table(&["seen", "count"], rows.into());
    Ok(())
}
