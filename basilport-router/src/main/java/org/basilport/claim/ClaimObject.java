package org.basilport.claim;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** The claims of one time slot and shard, stored as one platform object. */
final class ClaimObject {
  static final String PREFIX = "claims/";

  static final GroupCommit.Codec<ClaimObject> CODEC =
      new GroupCommit.Codec<>() {
        @Override
        public ClaimObject empty() {
          return new ClaimObject();
        }

        @Override
        public byte[] encode(ClaimObject state) {
          return state.encode();
        }

        @Override
        public ClaimObject decode(byte[] value) {
          return ClaimObject.decode(value);
        }
      };

  private static final int FORMAT = 1;
  private static final int HASH_BYTES = 16;

  private final Map<String, Claim> claims = new LinkedHashMap<>();
  private boolean closed;

  Optional<Claim> find(String keyHash) {
    return Optional.ofNullable(claims.get(keyHash));
  }

  void put(String keyHash, Claim claim) {
    claims.put(keyHash, claim);
  }

  /** Returns whether all further claims are rejected. */
  boolean closed() {
    return closed;
  }

  /** Drops all claims and rejects all further ones. */
  void close() {
    claims.clear();
    closed = true;
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(FORMAT);
      out.writeBoolean(closed);
      out.writeInt(claims.size());
      for (Map.Entry<String, Claim> entry : claims.entrySet()) {
        Claim claim = entry.getValue();
        out.write(HexFormat.of().parseHex(entry.getKey()));
        out.writeUTF(claim.attemptId());
        out.writeByte(claim.state().ordinal());
        out.writeShort(claim.status());
        out.writeLong(claim.digest());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  static ClaimObject decode(byte[] value) {
    ClaimObject object = new ClaimObject();
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
      int format = in.readByte();
      if (format != FORMAT) {
        throw new MalformedObjectException("claim object has unknown format " + format, null);
      }
      object.closed = in.readBoolean();
      int count = in.readInt();
      for (int i = 0; i < count; i++) {
        String hash = HexFormat.of().formatHex(in.readNBytes(HASH_BYTES));
        String attemptId = in.readUTF();
        Claim.State state = Claim.State.values()[in.readByte()];
        object.put(hash, new Claim(attemptId, state, in.readUnsignedShort(), in.readLong()));
      }
    } catch (IOException | IndexOutOfBoundsException e) {
      throw new MalformedObjectException("claim object is truncated or corrupted", e);
    }
    return object;
  }
}
