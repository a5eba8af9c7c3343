//! Client of one instance.

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

/// Maximum size of an encoded answer, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Request and answer message of the stand-in runners.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Text {
    /// Text of the request or answer.
    #[prost(string, tag = "1")]
    pub text: String,
}

/// Client that sends requests to one instance as a caller, submitter or operator.
///
/// Requests carry the client's key; an empty key is not sent.
#[derive(Clone, Debug)]
pub struct Client {
    channel: Channel,
    key: String,
}

impl Client {
    /// Creates a client of the instance at `address` (host and port) without TLS.
    /// The connection is opened by the first request.
    pub fn new(address: &str, key: &str) -> Self {
        let endpoint = Endpoint::from_shared(format!("http://{address}"))
            .expect("addresses of the rig are valid")
            .connect_timeout(Duration::from_secs(1))
            .tcp_nodelay(true);
        Self { channel: endpoint.connect_lazy(), key: key.to_owned() }
    }

    /// Creates a client that connects with TLS and trusts the certificate
    /// authority given in PEM.
    ///
    /// # Panics
    /// Panics if the certificate of the authority is malformed.
    pub fn with_tls(address: &str, key: &str, authority: &[u8]) -> Self {
        let tls = ClientTlsConfig::new().ca_certificate(Certificate::from_pem(authority));
        let endpoint = Endpoint::from_shared(format!("https://{address}"))
            .and_then(|endpoint| endpoint.tls_config(tls))
            .expect("addresses and certificate authorities of the rig are valid");
        Self { channel: endpoint.connect_lazy(), key: key.to_owned() }
    }

    /// Changes the configuration.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn change(&self, change: Change) -> Result<pb::ChangeReply> {
        self.change_if_version(0, change).await
    }

    /// Changes the configuration if its current version is `expected`; 0
    /// matches every version.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn change_if_version(
        &self,
        expected: u64,
        change: Change,
    ) -> Result<pb::ChangeReply> {
        let request = pb::ChangeRequest { expected_version: expected, change: Some(change) };
        let mut client = ControlClient::new(self.channel.clone());
        into_result(client.change(self.authorize(request)).await)
    }

    /// Creates or changes a team with home region `home` and a limit of
    /// `cpu_milli` thousandths of a core.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
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

    /// Grants a key to a team and returns the key.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn grant_key(&self, team: &str, label: &str) -> Result<String> {
        let grant = pb::GrantKey { team: team.to_owned(), label: label.to_owned() };
        Ok(self.change(Change::GrantKey(grant)).await?.key)
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn configuration(&self) -> Result<pb::Configuration> {
        let mut client =
            ControlClient::new(self.channel.clone()).max_decoding_message_size(MAX_ANSWER_BYTES);
        into_result(client.get_configuration(self.authorize(pb::GetConfigurationRequest {})).await)
    }

    /// Returns the state of the instances and targets.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn status(&self) -> Result<pb::StatusReply> {
        let mut client =
            ControlClient::new(self.channel.clone()).max_decoding_message_size(MAX_ANSWER_BYTES);
        into_result(client.get_status(self.authorize(pb::GetStatusRequest {})).await)
    }

    /// Submits a job under a submission id and returns the reply with the job's id.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn submit(&self, submission: &str, job: pb::Job) -> Result<pb::SubmitReply> {
        let request = pb::SubmitRequest { submission: submission.to_owned(), job: Some(job) };
        let mut client = JobsClient::new(self.channel.clone());
        into_result(client.submit(self.authorize(request)).await)
    }

    /// Returns the status of a job.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn job(&self, job: &str) -> Result<pb::JobStatus> {
        let mut client = JobsClient::new(self.channel.clone());
        into_result(client.get_job(self.authorize(pb::GetJobRequest { job: job.to_owned() })).await)
    }

    /// Cancels a job and returns its status.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn cancel(&self, job: &str) -> Result<pb::JobStatus> {
        let mut client = JobsClient::new(self.channel.clone());
        into_result(
            client.cancel_job(self.authorize(pb::CancelJobRequest { job: job.to_owned() })).await,
        )
    }

    /// Calls the method at `path` and returns the text of the answer. Repeats of a
    /// call are recognised by their `id`.
    ///
    /// # Errors
    /// Fails with the failure that the instance reports.
    pub async fn call(&self, path: &str, text: &str, id: Option<&str>) -> Result<String> {
        let mut request = self.authorize(Text { text: text.to_owned() });
        if let Some(id) = id {
            let id = id.parse().map_err(|_| Failure::invalid("the id is no header value"))?;
            request.metadata_mut().insert(REQUEST_ID_HEADER, id);
        }
        let path: PathAndQuery =
            path.parse().map_err(|_| Failure::invalid("the path is malformed"))?;
        let mut grpc = Grpc::new(self.channel.clone()).max_decoding_message_size(MAX_ANSWER_BYTES);
        grpc.ready().await.map_err(|error| Failure::unknown(error.to_string()))?;
        let codec = ProstCodec::<Text, Text>::default();
        into_result(grpc.unary(request, path, codec).await).map(|answer| answer.text)
    }

    fn authorize<T>(&self, message: T) -> Request<T> {
        let mut request = Request::new(message);
        if !self.key.is_empty() {
            let value =
                format!("Bearer {}", self.key).parse().expect("a key is a valid header value");
            request.metadata_mut().insert("authorization", value);
        }
        request
    }
}

fn into_result<T>(response: Result<tonic::Response<T>, Status>) -> Result<T> {
    response.map(tonic::Response::into_inner).map_err(|status| failure_of(&status))
}
