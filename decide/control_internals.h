// State of the control plane. Internal to decide/.
//
// control_plane.cc holds the periodic work (digests, readiness, lease),
// control_documents.cc the reading, adopting and spreading of documents.

#ifndef PARSLEYYARD_DECIDE_CONTROL_INTERNALS_H_
#define PARSLEYYARD_DECIDE_CONTROL_INTERNALS_H_

#include "decide/decide.h"
#include "decide/document_cache.h"
#include "decide/life_cycles.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace parsleyyard {

// One document: the revision in force and what is known of newer ones.
struct held_document {
  document_head head;                 // in force; revision 0 for none
  std::vector<content_ptr> contents;  // in the order of head.parts
  document_status status;
  std::uint64_t known_newest = 0;           // highest revision heard of
  instant behind_since{};                   // zero: not behind
  instant next_request{};                   // earliest next request to a peer
  host_address ask;                         // peer that holds a newer revision
  std::optional<document_head> reading;     // being read from the platform
  std::map<std::string, content_ptr> read;  // parts read so far, by hash
};

class control_internals {
 public:
  control_internals(control_options options,
                    const clock_source& clock,
                    random_source& random,
                    control_link& link,
                    config_source& source,
                    control_listener& listener);

  void Tick();
  void BeginDrain();
  void OnDigest(const digest& message);
  void OnUpdate(const host_address& from, const document_update& message);
  void OnRequest(const host_address& from, const document_request& message);
  void OnUndelivered(const host_address& to,
                     std::shared_ptr<const document_update> message);
  void OnHeads(const source_heads& heads);
  void OnPart(document_kind kind, const part_ref& part, std::string content);
  void OnSourceError();
  control_status Status() const;
  std::shared_ptr<const snapshot> Current() const { return view_; }

 private:
  static constexpr std::uint32_t kNever = UINT32_MAX;
  static constexpr std::size_t kRememberedPeers = 4096;

  // Periodic work.
  void OnPause(duration gap);
  void LoseView(const std::string& why, refusal_reason reason);
  digest MakeDigest(std::uint64_t nonce, std::uint64_t echo) const;
  void SendDigests(instant now);
  std::set<host_address> DigestPeers(instant now);
  void AddRandomPeer(std::set<host_address>& peers,
                     const std::vector<host_address>& order,
                     bool same_domain);
  void AddCrossRegionPeer(std::set<host_address>& peers,
                          std::size_t rank,
                          instant now);
  void OnEcho(const digest& message, instant asked_at);
  void CompareRevisions(const digest& message);
  void AskForMissing(instant now);
  bool HeardEnough(instant now) const;
  void UpdateReadiness(instant now);
  void GrantLease(instant now);
  bool ready() const {
    return life_.state() == daemon_state::kServing ||
           life_.state() == daemon_state::kDraining;
  }
  static std::uint32_t AgeMs(instant now,
                             const std::optional<instant>& contact);

  // Documents.
  const held_document& Held(document_kind kind) const {
    return documents_[static_cast<std::size_t>(kind)];
  }
  held_document& Held(document_kind kind) {
    return documents_[static_cast<std::size_t>(kind)];
  }
  content_ptr FindPart(const std::string& hash) const;
  std::optional<std::vector<content_ptr>> Collect(
      const document_head& head) const;
  bool Adopt(const document_head& head,
             std::vector<content_ptr> contents,
             const host_address& from);
  leaf::result<void> ParseInto(snapshot& view,
                               const document_head& head,
                               const std::vector<content_ptr>& contents);
  void Reject(held_document& document,
              const document_head& head,
              const document_error& error);
  void Replace(held_document& document,
               const document_head& head,
               std::vector<content_ptr> contents);
  document_update MakeUpdate(const held_document& document,
                             const std::vector<part_ref>& held_by_peer);
  void Push(const held_document& document,
            const std::vector<part_ref>& before,
            const host_address& from);
  std::set<host_address> PushTargets(const host_address& from) const;
  void SendRequest(const host_address& to, const held_document& document);

  // Reading the platform.
  void ScheduleFirstRead();
  void ReadSourceIfDue(instant now);
  std::optional<duration> ReadWhenOlderThan() const;
  duration TrickleInterval(std::size_t hosts) const;
  void FinishReading(held_document& document);

  control_options options_;
  const clock_source& clock_;
  random_source& random_;
  control_link& link_;
  config_source& source_;
  control_listener& listener_;
  std::shared_ptr<document_cache> cache_;

  daemon_life_cycle life_;
  std::array<held_document, kDocumentKindNames.size()> documents_;
  std::size_t passed_on_ = 0;  // undelivered updates since the last adoption
  std::deque<content_ptr> replaced_;  // recent contents, as bases of deltas
  std::shared_ptr<const snapshot> view_ = std::make_shared<const snapshot>();
  std::shared_ptr<const topology> topology_;

  instant started_at_;
  instant last_tick_;
  instant next_digest_{};
  bool draining_ = false;
  refusal_reason not_ready_reason_ = refusal_reason::kStarting;
  std::unordered_map<std::uint64_t, instant>
      nonces_;  // questions asked, by nonce
  std::optional<instant>
      source_contact_;  // newest known contact of anybody with the platform
  std::optional<instant>
      outside_contact_;  // newest known contact outside the failure domain
  std::unordered_map<host_address, std::uint64_t>
      remembered_;  // manifest last reported by a peer
  std::set<host_address>
      heard_;  // ready peers that answered since the view was lost
  std::set<std::string> heard_domains_;
  std::set<host_address> answered_;  // as heard_, whether ready or not
  std::set<std::string> answered_domains_;
  std::uint64_t required_manifest_ = 0;  // never serve an older one
  instant required_since_;               // when the view was lost, or the start
  std::uint64_t epoch_ = 0;              // counts losses of the view

  bool reading_ = false;  // a read of the heads is under way
  instant read_began_{};
  std::uint64_t read_epoch_ = 0;
  bool source_answered_ = false;
  std::uint64_t source_index_ = 0;
  instant next_trickle_{};  // outside the paced ranks
  instant retry_at_{};      // after a failed read
  duration read_backoff_{};
};

}  // namespace parsleyyard

#endif  // PARSLEYYARD_DECIDE_CONTROL_INTERNALS_H_
