//! Command that calls a method of a schema.

use base::Failure;
use bytes::Buf;
use http::uri::PathAndQuery;
use prost_reflect::{DynamicMessage, MessageDescriptor, prost::Message};
use tonic::{
    Status,
    client::Grpc,
    codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder},
};
use wire::REQUEST_ID_HEADER;

use crate::{
    compile::descriptor_pool,
    connect::{Access, authorized, connect},
    error::{Error, Result},
    options::CallCommand,
    printer::Printer,
};

/// Maximum size of an encoded answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 30;

/// Calls a method and prints the answer.
pub(crate) async fn run(access: &Access, printer: &Printer, command: CallCommand) -> Result<()> {
    let pool = descriptor_pool(&command.schema)?;
    let method = pool
        .services()
        .flat_map(|service| service.methods().collect::<Vec<_>>())
        .find(|m| command.method == format!("/{}/{}", m.parent_service().full_name(), m.name()))
        .ok_or_else(|| Error::usage(format!("the schema has no method {}", command.method)))?;
    let mut deserializer = serde_json::Deserializer::from_str(&command.data);
    let message =
        DynamicMessage::deserialize(method.input(), &mut deserializer).map_err(Error::usage)?;
    let mut request = authorized(access, message)?;
    if let Some(id) = &command.id {
        let id = id
            .parse()
            .map_err(|_| Error::usage("--id must consist of visible ASCII characters"))?;
        request.metadata_mut().insert(REQUEST_ID_HEADER, id);
    }
    let path: PathAndQuery = command.method.parse().map_err(Error::usage)?;
    let mut client = Grpc::new(connect(access).await?).max_decoding_message_size(MAX_ANSWER_BYTES);
    client.ready().await.map_err(|error| Failure::unknown(error.to_string()))?;
    let answer = client.unary(request, path, DynamicCodec(method.output())).await?.into_inner();
    let value = serde_json::to_value(&answer).map_err(Error::usage)?;
    printer.print(&value.to_string(), &value);
    Ok(())
}

/// Codec for messages whose type is known only from the descriptor of the answer.
struct DynamicCodec(MessageDescriptor);

impl Codec for DynamicCodec {
    type Encode = DynamicMessage;
    type Decode = DynamicMessage;
    type Encoder = DynamicEncoder;
    type Decoder = DynamicDecoder;

    fn encoder(&mut self) -> DynamicEncoder {
        DynamicEncoder
    }

    fn decoder(&mut self) -> DynamicDecoder {
        DynamicDecoder(self.0.clone())
    }
}

struct DynamicEncoder;

impl Encoder for DynamicEncoder {
    type Item = DynamicMessage;
    type Error = Status;

    fn encode(&mut self, item: DynamicMessage, buffer: &mut EncodeBuf<'_>) -> Result<(), Status> {
        item.encode(buffer).map_err(|error| Status::internal(error.to_string()))
    }
}

struct DynamicDecoder(MessageDescriptor);

impl Decoder for DynamicDecoder {
    type Item = DynamicMessage;
    type Error = Status;

    fn decode(&mut self, buffer: &mut DecodeBuf<'_>) -> Result<Option<DynamicMessage>, Status> {
        let bytes = buffer.copy_to_bytes(buffer.remaining());
        DynamicMessage::decode(self.0.clone(), bytes)
            .map(Some)
            .map_err(|error| Status::internal(error.to_string()))
    }
}
