package consul

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/consul/api"

	"sloequay/internal/membership/consul/registrar"
)

// registrationTimeout limits one API call for the registration.
const registrationTimeout = time.Second

// KeepRegistered keeps the proxy registered at the preferred agent until stop is closed, and then deregisters it by at
// most registrar.MaxDeregisterAttempts calls before it returns. name and listen are the ID and the address to register
// if the settings have none.
func (c *Catalogue) KeepRegistered(stop <-chan struct{}, name, listen string) error {
	client, err := c.newRegistrarClient(name, listen)
	if err != nil {
		return err
	}
	registration := registrar.New(c.Config.Registration.TTL)
	isFailing := false
	for !registration.Finished() {
		action := registration.Step(c.Now())
		if action == registrar.None {
			select {
			case <-stop:
				registration.Deregister(c.Now())
				stop = nil
			case <-time.After(max(0, registration.Next()-c.Now())):
			}
			continue
		}
		wasRegistered := registration.Registered()
		err := client.execute(action)
		registration.ActionCompleted(c.Now(), resultOf(err))
		switch {
		case err != nil && !isFailing:
			c.Log("catalogue-registration-failed", "id", client.service.ID, "error", truncated(err))
		case err == nil && action == registrar.Register && !wasRegistered:
			c.Log("catalogue-registered", "id", client.service.ID, "service", client.service.Name)
		}
		isFailing = err != nil
	}
	if !registration.Registered() {
		c.Log("catalogue-deregistered", "id", client.service.ID)
	}
	return nil
}

// registrarClient makes the API calls for the registrar's actions.
type registrarClient struct {
	config  *Config
	agent   *api.Agent
	service *api.AgentServiceRegistration
}

func (c *Catalogue) newRegistrarClient(name, listen string) (*registrarClient, error) {
	clients, err := c.Config.newClients()
	if err != nil {
		return nil, err
	}
	settings := *c.Config.Registration
	if settings.ID == "" {
		settings.ID = name
	}
	if settings.Address == "" {
		settings.Address = listen
	}
	host, portText, err := net.SplitHostPort(settings.Address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	return &registrarClient{
		config: c.Config,
		agent:  clients[0].Agent(),
		service: &api.AgentServiceRegistration{
			ID:      settings.ID,
			Name:    settings.Service,
			Address: host,
			Port:    port,
			Tags:    settings.Tags,
			Check: &api.AgentServiceCheck{
				CheckID: "service:" + settings.ID,
				TTL:     settings.TTL.String(),
				Status:  api.HealthPassing,
			},
		},
	}, nil
}

// execute carries out one action. If the token can't be read, the call is made without it: the agent then rejects the
// call, which is logged.
func (r *registrarClient) execute(action registrar.Action) error {
	ctx, cancel := context.WithTimeout(context.Background(), registrationTimeout)
	defer cancel()
	token, _ := r.config.readToken()
	options := (&api.QueryOptions{Token: token}).WithContext(ctx)
	switch action {
	case registrar.Register:
		return r.agent.ServiceRegisterOpts(r.service, api.ServiceRegisterOpts{Token: token}.WithContext(ctx))
	case registrar.Renew:
		return r.agent.UpdateTTLOpts(r.service.Check.CheckID, "", api.HealthPassing, options)
	case registrar.Deregister:
		return r.agent.ServiceDeregisterOpts(r.service.ID, options)
	}
	return nil
}

func resultOf(err error) registrar.Result {
	var statusErr api.StatusError
	switch {
	case err == nil:
		return registrar.Succeeded
	case errors.As(err, &statusErr) && statusErr.Code == http.StatusNotFound:
		return registrar.NotFound
	}
	return registrar.Failed
}
