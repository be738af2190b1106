package main

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"arbutusreel/control"
	"arbutusreel/decision"
	"arbutusreel/entry"
	"arbutusreel/keys"
	"arbutusreel/membership"
	"arbutusreel/metrics"
	"arbutusreel/settings"
	"arbutusreel/wiregen"
)

// logTimeFormat is the time format of log lines: RFC 3339 with microseconds.
const logTimeFormat = "2006-01-02T15:04:05.000000Z07:00"

// newLogger returns a logger that writes JSON lines with the role, name and region of the instance to stderr and to the
// decision store, which keeps those that explain decisions.
func newLogger(level, role, name, region string, decisions *decision.Store) (zerolog.Logger, error) {
	parsed, err := zerolog.ParseLevel(level)
	if err != nil {
		return zerolog.Nop(), settings.Faults{{Setting: "logLevel", Value: level, Reason: "is not a log level"}}
	}
	zerolog.TimeFieldFormat = logTimeFormat
	return zerolog.New(zerolog.MultiLevelWriter(os.Stderr, decisions)).Level(parsed).With().Timestamp().
		Str("role", role).Str("instance", name).Str("region", region).Logger(), nil
}

// tlsSettings are the TLS settings common to all daemons.
type tlsSettings interface {
	GetTlsCertificateFile() string
	GetTlsKeyFile() string
	GetTlsAuthorityFile() string
}

// newKeySource returns a source of the certificate, key and authority files given by the settings.
func newKeySource(m tlsSettings, log zerolog.Logger) (*keys.Source, error) {
	files := keys.Files{Certificate: m.GetTlsCertificateFile(), Key: m.GetTlsKeyFile(), Authority: m.GetTlsAuthorityFile()}
	return keys.New(files, time.Now, func(err error) {
		log.Error().Err(err).Msg("cannot read TLS files")
	})
}

func entryCommand() *command {
	m := &wiregen.EntrySettings{}
	return &command{
		name:     "entry",
		doc:      "Runs an entry daemon, which serves callers.",
		settings: m,
		check:    func() error { return checkRequestBytes(m) },
		run: func(ctx context.Context, _ io.Writer) error {
			decisions := decision.New(int(m.GetDecisionBytes()))
			log, err := newLogger(m.GetLogLevel(), "entry", m.GetName(), m.GetRegion(), decisions)
			if err != nil {
				return err
			}
			source, err := newKeySource(m, log)
			if err != nil {
				return err
			}
			cfg := entryConfig(m)
			cfg.Connections, cfg.PeerConnections = newAcceptors(log)
			cfg.Keys = source
			cfg.Decisions = decisions
			cfg.Metrics = metrics.New()
			expvar.Publish("entry", cfg.Metrics)
			return entry.New(cfg, log, time.Now).Run(ctx)
		},
	}
}

// minBodiesInMemory is the number of bodies of the maximum size that the memory for requests must hold, so that each
// class can have one.
const minBodiesInMemory = 4

func checkRequestBytes(m *wiregen.EntrySettings) error {
	if minimum := minBodiesInMemory * m.GetMaxBodyBytes(); m.GetRequestBytes() < minimum {
		reason := fmt.Sprintf("must be at least %d, four times maxBodyBytes", minimum)
		return settings.Faults{{Setting: "requestBytes", Value: fmt.Sprint(m.GetRequestBytes()), Reason: reason}}
	}
	return nil
}

func entryConfig(m *wiregen.EntrySettings) entry.Config {
	cfg := entry.Config{
		Self: membership.Entry{
			Name:            m.GetName(),
			Region:          m.GetRegion(),
			FailureDomain:   m.GetFailureDomain(),
			CallerAddress:   m.GetCallerAddress(),
			EndpointAddress: m.GetEndpointAddress(),
			PeerAddress:     m.GetPeerAddress(),
			Weight:          1,
		},
		Peers:               m.GetPeers(),
		DirectoryAddress:    m.GetDirectoryAddress(),
		MaxBodyBytes:        m.GetMaxBodyBytes(),
		RequestBytes:        m.GetRequestBytes(),
		MaxHeaderBytes:      int(m.GetMaxHeaderBytes()),
		AnnouncementLease:   m.GetAnnouncementLease().AsDuration(),
		DrainNotice:         m.GetDrainNotice().AsDuration(),
		DrainTimeout:        m.GetDrainTimeout().AsDuration(),
		ReaderTimeout:       m.GetReaderTimeout().AsDuration(),
		BodyTimeout:         m.GetBodyTimeout().AsDuration(),
		RoutingPolicy:       m.GetRoutingPolicy(),
		Seed:                uint64(m.GetSeed()),
		OperatorTokenDigest: m.GetOperatorTokenDigest(),
		LedgerReplicas:      m.GetLedgerReplicas(),
		DataFolder:          m.GetDataFolder(),
		LedgerRetention:     m.GetLedgerRetention().AsDuration(),
		LedgerMaxCalls:      int(m.GetLedgerMaxCalls()),
	}
	cfg.ControlNames = map[string]string{}
	for _, member := range m.GetControls() {
		name, address, _ := strings.Cut(member, "=")
		cfg.ControlNames[address] = name
		cfg.Controls = append(cfg.Controls, address)
	}
	return cfg
}

func controlCommand() *command {
	m := &wiregen.ControlSettings{}
	return &command{
		name:     "control",
		doc:      "Runs a control daemon, a voter of the quorum that accepts configuration changes.",
		settings: m,
		run: func(ctx context.Context, _ io.Writer) error {
			decisions := decision.New(int(m.GetDecisionBytes()))
			log, err := newLogger(m.GetLogLevel(), "control", m.GetName(), m.GetRegion(), decisions)
			if err != nil {
				return err
			}
			source, err := newKeySource(m, log)
			if err != nil {
				return err
			}
			cfg := controlConfig(m)
			cfg.Connections, cfg.PeerConnections = newAcceptors(log)
			cfg.Keys = source
			cfg.Decisions = decisions
			return control.New(cfg, log, time.Now).Run(ctx)
		},
	}
}

func controlConfig(m *wiregen.ControlSettings) control.Config {
	return control.Config{
		Name:                m.GetName(),
		Region:              m.GetRegion(),
		FailureDomain:       m.GetFailureDomain(),
		PeerAddress:         m.GetPeerAddress(),
		OperatorAddress:     m.GetOperatorAddress(),
		Voters:              m.GetVoters(),
		Join:                m.GetJoin(),
		DataFolder:          m.GetDataFolder(),
		OperatorTokenDigest: m.GetOperatorTokenDigest(),
		MaxInventoryBytes:   m.GetMaxInventoryBytes(),
		Heartbeat:           m.GetHeartbeat().AsDuration(),
		ElectionTimeout:     m.GetElectionTimeout().AsDuration(),
		SnapshotEntries:     int(m.GetSnapshotEntries()),
		PlacementPeriod:     m.GetPlacementPeriod().AsDuration(),
	}
}
