//! Identifiers, result codes and wire types shared by the processes of a mesh.
