//! Configuration from three sources: the platform's configuration file, the deployment's settings inside that file,
//! and an optional settings script.

pub mod platform;
pub mod product;
pub mod settings;
