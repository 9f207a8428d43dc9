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

// callTimeout bounds one call for the registration.
const callTimeout = time.Second

// KeepRegistered keeps the doorman registered at the first agent until leave is closed, and then takes the registration back. It
// returns when that is done. name and listen stand in where the settings tell no id and no address.
func (c *Catalogue) KeepRegistered(leave <-chan struct{}, name, listen string) error {
	clients, err := c.Config.clients()
	if err != nil {
		return err
	}
	set := *c.Config.Registration
	if set.ID == "" {
		set.ID = name
	}
	if set.Address == "" {
		set.Address = listen
	}
	host, port, err := net.SplitHostPort(set.Address)
	if err != nil {
		return err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return err
	}
	check := "service:" + set.ID
	r := registrar.New(set.TTL)
	failing := false
	for !r.Finished() {
		action := r.Step(c.Now())
		if action == registrar.None {
			select {
			case <-leave:
				r.Deregister(c.Now())
				leave = nil
			case <-time.After(max(0, r.Next()-c.Now())):
			}
			continue
		}
		was := r.Registered()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		token, _ := c.Config.token()
		q := (&api.QueryOptions{Token: token}).WithContext(ctx)
		agent := clients[0].Agent()
		switch action {
		case registrar.Register:
			err = agent.ServiceRegisterOpts(&api.AgentServiceRegistration{ID: set.ID, Name: set.Service, Address: host,
				Port: number, Tags: set.Tags, Check: &api.AgentServiceCheck{CheckID: check, TTL: set.TTL.String(),
					Status: api.HealthPassing}}, api.ServiceRegisterOpts{Token: token}.WithContext(ctx))
		case registrar.Renew:
			err = agent.UpdateTTLOpts(check, "", api.HealthPassing, q)
		case registrar.Deregister:
			err = agent.ServiceDeregisterOpts(set.ID, q)
		}
		cancel()
		r.ActionCompleted(c.Now(), resultOf(err))
		switch {
		case err != nil && !failing:
			c.Log("catalogue-registration-failed", "id", set.ID, "error", truncated(err))
		case err == nil && action == registrar.Register && !was:
			c.Log("catalogue-registered", "id", set.ID, "service", set.Service)
		}
		failing = err != nil
	}
	if !r.Registered() {
		c.Log("catalogue-deregistered", "id", set.ID)
	}
	return nil
}

func resultOf(err error) registrar.Result {
	var status api.StatusError
	switch {
	case err == nil:
		return registrar.Succeeded
	case errors.As(err, &status) && status.Code == http.StatusNotFound:
		return registrar.NotFound
	}
	return registrar.Failed
}
