//! Plans where and when a gang that does not fit now has room.
