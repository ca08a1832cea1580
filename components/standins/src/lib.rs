//! Stand-ins for the fabric, the store and backend servers, with fault controls.
