package org.basilport.deferred;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilport.claim.GroupCommit;

/** The pending jobs of one shard and the lease of their owner, as stored in one object. */
final class JobShard {
  static final String PREFIX = "jobs/";

  /** Maximum number of pending jobs in a shard. */
  static final int MAX_JOBS = 256;

  /**
   * Maximum total length of the prompts of a shard, in characters; each takes at most 3 bytes in
   * the stored object.
   */
  static final int MAX_PROMPT_CHARACTERS = 250_000;

  static final GroupCommit.Codec<JobShard> CODEC =
      new GroupCommit.Codec<>() {
        @Override
        public JobShard empty() {
          return new JobShard();
        }

        @Override
        public byte[] encode(JobShard state) {
          return state.encode();
        }

        @Override
        public JobShard decode(byte[] value) {
          return JobShard.decode(value);
        }
      };

  private static final int FORMAT = 1;

  private final Map<String, JobRecord> jobs = new LinkedHashMap<>();
  private String owner = "";
  private long ownedUntilMillis;

  Optional<JobRecord> find(String jobId) {
    return Optional.ofNullable(jobs.get(jobId));
  }

  List<JobRecord> jobs() {
    return new ArrayList<>(jobs.values());
  }

  boolean hasRoomFor(JobRecord job) {
    long characters = jobs.values().stream().mapToLong(known -> known.prompt().length()).sum();
    return jobs.size() < MAX_JOBS && characters + job.prompt().length() <= MAX_PROMPT_CHARACTERS;
  }

  void put(JobRecord job) {
    jobs.put(job.id(), job);
  }

  boolean remove(String jobId) {
    return jobs.remove(jobId) != null;
  }

  String owner() {
    return owner;
  }

  long ownedUntilMillis() {
    return ownedUntilMillis;
  }

  void setOwner(String newOwner, long untilMillis) {
    owner = newOwner;
    ownedUntilMillis = untilMillis;
  }

  private byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DataOutputStream out = new DataOutputStream(bytes)) {
      out.writeByte(FORMAT);
      out.writeUTF(owner);
      out.writeLong(ownedUntilMillis);
      out.writeInt(jobs.size());
      for (JobRecord job : jobs.values()) {
        out.writeUTF(job.id());
        out.writeUTF(job.workspace());
        out.writeUTF(job.route());
        // Not writeUTF, which is limited to 64 KB.
        byte[] prompt = job.prompt().getBytes(StandardCharsets.UTF_8);
        out.writeInt(prompt.length);
        out.write(prompt);
        out.writeInt(job.maxTokens());
        out.writeUTF(job.resumeToken());
      }
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    return bytes.toByteArray();
  }

  private static JobShard decode(byte[] value) {
    JobShard shard = new JobShard();
    try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(value))) {
      int format = in.readByte();
      if (format != FORMAT) {
        throw new IllegalStateException("job shard has unknown format " + format);
      }
      shard.setOwner(in.readUTF(), in.readLong());
      int count = in.readInt();
      for (int i = 0; i < count; i++) {
        shard.put(readJob(in));
      }
    } catch (IOException e) {
      throw new UncheckedIOException("job shard is truncated", e);
    }
    return shard;
  }

  private static JobRecord readJob(DataInputStream in) throws IOException {
    String id = in.readUTF();
    String workspace = in.readUTF();
    String route = in.readUTF();
    String prompt = new String(in.readNBytes(in.readInt()), StandardCharsets.UTF_8);
    return new JobRecord(id, workspace, route, prompt, in.readInt(), in.readUTF());
  }
}
