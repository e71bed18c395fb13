//! MQTT 5: clients hand messages in by PUBLISH, brokers serve as providers. The rules are the
//! core's.

pub mod brokers;
pub mod ingress;
pub mod packets;
pub mod sessions;
