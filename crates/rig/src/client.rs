//! A client of one instance.

use std::time::Duration;

use base::{Failure, Result};
use http::uri::PathAndQuery;
use tonic::{
    Request, Status,
    client::Grpc,
    transport::{Certificate, Channel, ClientTlsConfig, Endpoint},
};
use tonic_prost::ProstCodec;
use wire::{
    REQUEST_ID_HEADER, failure_of,
    pb::{self, change_request::Change, control_client::ControlClient, jobs_client::JobsClient},
};

/// Largest answer that is read, in bytes.
const LARGEST_ANSWER_BYTES: usize = 64 << 20;

/// A `Text` is the message that the stand-in runners take and give.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Text {
    /// The text.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// A `Client` is a caller, submitter or operator at one instance.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
    key: String,
}

impl Client {
    /// Makes a client that connects to `address` when it is first used.
    pub fn new(address: &str, key: &str) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .expect("the rig makes valid addresses")
            .connect_timeout(Duration::from_secs(1))
            .tcp_nodelay(true);
        Self { channel: endpoint.connect_lazy(), key: key.to_owned() }
    }

    /// Makes a client that connects by TLS and trusts an authority, in PEM.
    ///
    /// # Panics
    /// Panics if the authority is malformed.
    pub fn with_tls(address: &str, key: &str, authority: &[u8]) -> Self {
        let tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(authority));
        let endpoint = Endpoint::from_shared(format!("https://{address}"))
            .and_then(|endpoint| endpoint.tls_config(tls))
            .expect("the rig makes valid addresses and authorities");
        Self { channel: endpoint.connect_lazy(), key: key.to_owned() }
    }

    /// Changes the configuration.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn change(&self, change: Change) -> Result<pb::ChangeReply> {
        self.change_if_version(0, change).await
    }

    /// Changes the configuration if its version is the expected one.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn change_if_version(
        &self,
        expected: u64,
        change: Change,
    ) -> Result<pb::ChangeReply> {
        let request = pb::ChangeRequest { expected_version: expected, change: Some(change) };
        let mut client = ControlClient::new(self.channel.clone());
        read(client.change(self.sign(request)).await)
    }

    /// Creates or changes a team.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn put_team(&self, name: &str, home: &str, cpu_milli: u32) -> Result<()> {
        let limit = pb::Resources { cpu_milli, memory_mib: u32::MAX, accelerators: u32::MAX };
        let put = pb::PutTeam {
            name: name.to_owned(),
            share: 1,
            limit: Some(limit),
            calls: 100_000,
            home_region: home.to_owned(),
        };
        self.change(Change::PutTeam(put)).await.map(|_| ())
    }

    /// Grants a key to a team; gets the key.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn grant_key(&self, team: &str, label: &str) -> Result<String> {
        let grant = pb::GrantKey { team: team.to_owned(), label: label.to_owned() };
        Ok(self.change(Change::GrantKey(grant)).await?.key)
    }

    /// Gets the configuration in force.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn configuration(&self) -> Result<pb::Configuration> {
        let mut client = ControlClient::new(self.channel.clone())
            .max_decoding_message_size(LARGEST_ANSWER_BYTES);
        read(client.get_configuration(self.sign(pb::GetConfigurationRequest {})).await)
    }

    /// Gets the state of instances and targets.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn status(&self) -> Result<pb::StatusReply> {
        let mut client = ControlClient::new(self.channel.clone())
            .max_decoding_message_size(LARGEST_ANSWER_BYTES);
        read(client.get_status(self.sign(pb::GetStatusRequest {})).await)
    }

    /// Submits a job; gets its id.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn submit(&self, submission: &str, job: pb::Job) -> Result<pb::SubmitReply> {
        let request = pb::SubmitRequest { submission: submission.to_owned(), job: Some(job) };
        let mut client = JobsClient::new(self.channel.clone());
        read(client.submit(self.sign(request)).await)
    }

    /// Gets the status of a job.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn job(&self, job: &str) -> Result<pb::JobStatus> {
        let mut client = JobsClient::new(self.channel.clone());
        read(client.get_job(self.sign(pb::GetJobRequest { job: job.to_owned() })).await)
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn cancel(&self, job: &str) -> Result<pb::JobStatus> {
        let mut client = JobsClient::new(self.channel.clone());
        read(client.cancel_job(self.sign(pb::CancelJobRequest { job: job.to_owned() })).await)
    }

    /// Makes a call with a text; gets the text of the answer.
    ///
    /// # Errors
    /// Fails with what the instance says.
    pub async fn call(&self, path: &str, text: &str, id: Option<&str>) -> Result<String> {
        let mut request = self.sign(Text { text: text.to_owned() });
        if let Some(id) = id {
            let id = id.parse().map_err(|_| Failure::invalid("the id is no header value"))?;
            request.metadata_mut().insert(REQUEST_ID_HEADER, id);
        }
        let path: PathAndQuery =
            path.parse().map_err(|_| Failure::invalid("the path is malformed"))?;
        let mut grpc =
            Grpc::new(self.channel.clone()).max_decoding_message_size(LARGEST_ANSWER_BYTES);
        grpc.ready().await.map_err(|error| Failure::unknown(error.to_string()))?;
        let codec = ProstCodec::<Text, Text>::default();
        read(grpc.unary(request, path, codec).await).map(|answer| answer.text)
    }

    fn sign<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if !self.key.is_empty() {
            let value = format!("Bearer {}", self.key).parse().expect("keys are header values");
            request.metadata_mut().insert("authorization", value);
        }
        request
    }
}

fn read<T>(response: Result<tonic::Response<T>, Status>) -> Result<T> {
    response.map(tonic::Response::into_inner).map_err(|status| failure_of(&status))
}
